package org.ebonyrun.standin.virtual;

import java.util.function.Function;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.core.attempt.AttemptPolicy;
import org.ebonyrun.core.rollout.StragglerPolicy;
import org.ebonyrun.core.routing.EndpointChooser;
import org.ebonyrun.core.routing.LeastLoadChooser;

/**
 * The policies that a world runs with.
 *
 * @param name the name in reports
 * @param attempts the decisions of agents
 * @param chooser makes the choice of endpoint for an entry in a failure domain
 * @param stragglers when a slow sample is run a second time
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
