package org.ebonyrun.core.call;

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
                public long retryAfterMillis() {
                    return 0;
                }
            };

    /** Returns whether a call may not be sent, not even once more. */
    boolean isBlocked(CallSpec call);

    /** Returns when a caller whose call is blocked may come back, in milliseconds. */
    long retryAfterMillis();
}
