package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.stream.StreamAdmission;

/**
 * Decides whether a call may be sent to endpoints at all.
 *
 * <p>Confined to the event loop of its {@link CallMachine}.
 */
public interface CallGuard {
    /** Admits every call. */
    CallGuard NONE =
            new CallGuard() {
                @Override
                public boolean isBlocked(CallSpec call) {
                    return false;
                }

                @Override
                public boolean mayRetry(CallSpec call) {
                    return true;
                }

                @Override
                public long retryAfterMillis() {
                    return 0;
                }
            };

    /** Returns whether a call may not be sent, not even once more. */
    boolean isBlocked(CallSpec call);

    /** Returns whether a call that an endpoint may have run may be sent to another one. */
    boolean mayRetry(CallSpec call);

    /** Returns whether a call that begins a stream may begin it at an endpoint. */
    default StreamAdmission admit(CallSpec call, Endpoint endpoint, long now) {
        return StreamAdmission.ADMITTED;
    }

    /**
     * Returns whether a call, or one that is equal to it, has broken a connection to an endpoint.
     */
    default boolean hasCrashed(CallSpec call) {
        return false;
    }

    /** Returns when a caller whose call is blocked may come back, in milliseconds. */
    long retryAfterMillis();
}
