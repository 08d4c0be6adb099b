package org.ebonyrun.standin.experiment;

import java.util.List;
import org.ebonyrun.core.attempt.AttemptPolicy;
import org.ebonyrun.core.attempt.QueueOrder;
import org.ebonyrun.core.attempt.SampleAdmission;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.LeastLoadChooser;
import org.ebonyrun.core.routing.RoundRobinChooser;
import org.ebonyrun.standin.virtual.PolicySet;

/** The policies that are compared. Stateless and thread safe. */
public final class PolicySets {
    private PolicySets() {}

    /** Returns ours and the baselines, ours first. */
    public static List<PolicySet> compared() {
        return List.of(PolicySet.standard(), arrival(), staticPriority(), tokenCounter());
    }

    /** Returns ours with one idea switched off, or a rejected one switched on. */
    public static List<PolicySet> ablations() {
        AttemptPolicy standard = AttemptPolicy.standard();
        AttemptPolicy noReserve =
                new AttemptPolicy(standard.order(), SampleAdmission::freeSlots, true);
        AttemptPolicy noRefusal = new AttemptPolicy(standard.order(), standard.admission(), false);
        AttemptPolicy noLaxity = new AttemptPolicy(QueueOrder.fifo(), standard.admission(), true);
        return List.of(
                PolicySet.standard(),
                ours("without call reserve", noReserve, StragglerPolicy.hedgeTail(), 0),
                ours("without early refusal", noRefusal, StragglerPolicy.hedgeTail(), 0),
                ours("without least laxity", noLaxity, StragglerPolicy.hedgeTail(), 0),
                ours("without second attempts", standard, StragglerPolicy.neverHedge(), 0),
                ours("with prefix affinity", standard, StragglerPolicy.hedgeTail(), 2));
    }

    private static PolicySet ours(
            String name, AttemptPolicy attempts, StragglerPolicy stragglers, int slack) {
        return new PolicySet(
                name, attempts, domain -> LeastLoadChooser.withSlack(domain, slack), stragglers);
    }

    private static PolicySet arrival() {
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
