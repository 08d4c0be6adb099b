package org.ebonyrun.standin.virtual;

import java.util.function.Function;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.core.attempt.QueueOrder;
import org.ebonyrun.core.routing.EndpointChooser;
import org.ebonyrun.core.routing.LeastLoadChooser;

/**
 * The policies that a world runs with.
 *
 * @param name the name in reports
 * @param queueOrder which queued attempt an agent starts first
 * @param chooser makes the choice of endpoint for an entry in a failure domain
 */
public record PolicyChoice(
        String name, QueueOrder queueOrder, Function<FailureDomain, EndpointChooser> chooser) {
    /** Returns the policies that the daemon runs with. */
    public static PolicyChoice standard() {
        return new PolicyChoice("ebonyrun", QueueOrder.leastLaxity(), LeastLoadChooser::create);
    }
}
