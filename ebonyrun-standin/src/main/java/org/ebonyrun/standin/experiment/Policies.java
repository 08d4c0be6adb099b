package org.ebonyrun.standin.experiment;

import java.util.List;
import org.ebonyrun.core.attempt.AttemptPolicy;
import org.ebonyrun.core.attempt.QueueOrder;
import org.ebonyrun.core.attempt.SampleAdmission;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.LeastLoadChooser;
import org.ebonyrun.core.routing.RoundRobinChooser;
import org.ebonyrun.standin.virtual.PolicyChoice;

/** The policies that are compared. Stateless and thread safe. */
public final class Policies {
    private Policies() {}

    /** Returns ours and the baselines, ours first. */
    public static List<PolicyChoice> compared() {
        return List.of(PolicyChoice.standard(), arrival(), staticPriority(), tokenCounter());
    }

    /** Returns ours with one idea switched off, or a rejected one switched on. */
    public static List<PolicyChoice> ablations() {
        AttemptPolicy standard = AttemptPolicy.standard();
        AttemptPolicy noReserve =
                new AttemptPolicy(standard.order(), SampleAdmission::freeSlots, true);
        AttemptPolicy noRefusal = new AttemptPolicy(standard.order(), standard.admission(), false);
        AttemptPolicy noLaxity = new AttemptPolicy(QueueOrder.fifo(), standard.admission(), true);
        return List.of(
                PolicyChoice.standard(),
                ours("without call reserve", noReserve, StragglerPolicy.hedgeTail(), 0),
                ours("without early refusal", noRefusal, StragglerPolicy.hedgeTail(), 0),
                ours("without least laxity", noLaxity, StragglerPolicy.hedgeTail(), 0),
                ours("without second attempts", standard, StragglerPolicy.neverHedge(), 0),
                ours("with prefix affinity", standard, StragglerPolicy.hedgeTail(), 2));
    }

    private static PolicyChoice ours(
            String name, AttemptPolicy attempts, StragglerPolicy stragglers, int slack) {
        return new PolicyChoice(
                name, attempts, domain -> LeastLoadChooser.withSlack(domain, slack), stragglers);
    }

    private static PolicyChoice arrival() {
        return new PolicyChoice(
                "arrival, round robin",
                new AttemptPolicy(QueueOrder.fifo(), SampleAdmission::freeSlots, false),
                domain -> new RoundRobinChooser(),
                StragglerPolicy.neverHedge());
    }

    private static PolicyChoice staticPriority() {
        return new PolicyChoice(
                "static priority, least load",
                new AttemptPolicy(QueueOrder.callsFirst(), SampleAdmission::freeSlots, false),
                domain -> LeastLoadChooser.withSlack(domain, 0),
                StragglerPolicy.neverHedge());
    }

    private static PolicyChoice tokenCounter() {
        return new PolicyChoice(
                "token counter",
                new AttemptPolicy(QueueOrder.fifo(), SampleAdmission::tokenCounter, false),
                domain -> LeastLoadChooser.withSlack(domain, 0),
                StragglerPolicy.neverHedge());
    }
}
