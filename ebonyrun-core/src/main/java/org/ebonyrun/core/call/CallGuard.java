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
                public CallAdmission admission(CallSpec call) {
                    return CallAdmission.ADMITTED;
                }

                @Override
                public boolean mayRetry(CallSpec call) {
                    return true;
                }

                @Override
                public long retryAfterMillis(CallSpec call) {
                    return 0;
                }
            };

    /** Returns whether a call may be sent to an endpoint. */
    CallAdmission admission(CallSpec call);

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

    /** Returns when the caller of a blocked call may come back, in milliseconds. */
    long retryAfterMillis(CallSpec call);
}
