package org.ebonyrun.core.membership;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.jspecify.annotations.Nullable;

/** Messages by which processes identify themselves and show that they are alive. Immutable. */
public sealed interface MembershipMessage extends Message {
    /**
     * The first message on a link, from both sides.
     *
     * @param vm the sender
     * @param role the sender's role, {@code entry} or {@code endpoint}
     * @param service the service of an endpoint; empty for an entry
     * @param failureDomain the failure domain in which the sender runs
     * @param incarnation a random number that the sender chose when it started
     * @param weightSource the address from which an engine's weights can be copied; empty otherwise
     */
    record Hello(
            VmId vm,
            String role,
            String service,
            FailureDomain failureDomain,
            long incarnation,
            String weightSource)
            implements MembershipMessage {}

    /**
     * Shows that the sender is alive.
     *
     * @param configVersion the version of the configuration that the sender has
     * @param load the load of an endpoint; null from an entry
     */
    record Heartbeat(long configVersion, @Nullable EndpointLoad load)
            implements MembershipMessage {}
}
