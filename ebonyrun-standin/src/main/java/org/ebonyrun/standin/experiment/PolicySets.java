package org.ebonyrun.standin.experiment;

import java.util.List;
import org.ebonyrun.core.attempt.AttemptPolicy;
import org.ebonyrun.core.attempt.QueueOrder;
import org.ebonyrun.core.attempt.SampleAdmission;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.LeastLoadChooser;
import org.ebonyrun.core.routing.RoundRobinChooser;
import org.ebonyrun.standin.virtual.PolicySet;

/** The policy sets that experiments compare. Stateless and thread safe. */
public final class PolicySets {
    private PolicySets() {}

    /** Returns the standard policies, followed by the baselines. */
    public static List<PolicySet> compared() {
        return List.of(PolicySet.standard(), fifoRoundRobin(), staticPriority(), tokenCounter());
    }

    /**
     * Returns the standard policies, and variants that disable one mechanism or enable one that was
     * rejected for the standard policies.
     */
    public static List<PolicySet> ablations() {
        AttemptPolicy standard = AttemptPolicy.standard();
        AttemptPolicy noReserve =
                new AttemptPolicy(standard.order(), SampleAdmission::freeSlots, true);
        AttemptPolicy noRefusal = new AttemptPolicy(standard.order(), standard.admission(), false);
        AttemptPolicy noLaxity = new AttemptPolicy(QueueOrder.fifo(), standard.admission(), true);
        return List.of(
                PolicySet.standard(),
                variant("without call reserve", noReserve, StragglerPolicy.hedgeTail(), 0),
                variant("without early refusal", noRefusal, StragglerPolicy.hedgeTail(), 0),
                variant("without least laxity", noLaxity, StragglerPolicy.hedgeTail(), 0),
                variant("without second attempts", standard, StragglerPolicy.neverHedge(), 0),
                variant("with prefix affinity", standard, StragglerPolicy.hedgeTail(), 2));
    }

    private static PolicySet variant(
            String name, AttemptPolicy attempts, StragglerPolicy stragglers, int slack) {
        return new PolicySet(
                name, attempts, domain -> LeastLoadChooser.withSlack(domain, slack), stragglers);
    }

    private static PolicySet fifoRoundRobin() {
        return new PolicySet(
                "arrival, round robin",
                new AttemptPolicy(QueueOrder.fifo(), SampleAdmission::freeSlots, false),
                domain -> new RoundRobinChooser(),
                StragglerPolicy.neverHedge());
    }

    private static PolicySet staticPriority() {
        return new PolicySet(
                "static priority, least load",
                new AttemptPolicy(QueueOrder.callsFirst(), SampleAdmission::freeSlots, false),
                domain -> LeastLoadChooser.withSlack(domain, 0),
                StragglerPolicy.neverHedge());
    }

    private static PolicySet tokenCounter() {
        return new PolicySet(
                "token counter",
                new AttemptPolicy(QueueOrder.fifo(), SampleAdmission::tokenCounter, false),
                domain -> LeastLoadChooser.withSlack(domain, 0),
                StragglerPolicy.neverHedge());
    }
}
