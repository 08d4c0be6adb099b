package org.ebonyrun.standin.virtual;

import java.util.function.Function;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.core.attempt.AttemptPolicy;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.EndpointChooser;
import org.ebonyrun.core.routing.LeastLoadChooser;

/**
 * The policies that a virtual deployment runs with.
 *
 * @param name the name in reports
 * @param attempts queue order, sample admission and early refusal at agents
 * @param chooser creates the endpoint chooser for an entry in a failure domain
 * @param stragglers when a hedged attempt of a slow sample is started
 */
public record PolicySet(
        String name,
        AttemptPolicy attempts,
        Function<FailureDomain, EndpointChooser> chooser,
        StragglerPolicy stragglers) {
    /** Returns the policies that the daemon runs with. */
    public static PolicySet standard() {
        return new PolicySet(
                "ebonyrun",
                AttemptPolicy.standard(),
                LeastLoadChooser::create,
                StragglerPolicy.hedgeTail());
    }
}
