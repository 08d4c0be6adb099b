package org.ebonyrun.base.memory;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides whether a request whose body arrives is read, waits for memory or is refused.
 *
 * <p>Answers bursts of large bodies: most of them end within the time for which their successors
 * can wait, so that reading them one after the other serves all of them. What waits is not read, so
 * it costs a connection only. Stateless and thread safe.
 *
 * @param maxWaitNanos how long a request may wait; callers give up on one that is not read for long
 * @param maxWaiting how many requests may wait at the same time
 */
public record BodyAdmission(long maxWaitNanos, int maxWaiting) {
    /** What happens to a request. */
    public enum Decision {
        /** It is read. */
        READ,
        /** It waits. */
        WAIT,
        /** It is refused, and its caller may come back. */
        REFUSE,
        /** It is refused for good: it does not fit at any time. */
        NEVER
    }

    /** Checks the limits. */
    public BodyAdmission {
        checkArgument(maxWaitNanos >= 0, "negative wait: %s", maxWaitNanos);
        checkArgument(maxWaiting >= 0, "negative number: %s", maxWaiting);
    }

    /**
     * Decides on a request.
     *
     * @param claim the claim of the request, which takes the bytes if it is read
     * @param bytes the bytes that the request needs beyond its claim
     * @param isNext whether no other request waits that came before this one
     * @param waitedNanos how long this request has waited; zero if it has not
     * @param waiting the number of requests that wait, without this one
     */
    public Decision decide(
            MemoryClaim claim, long bytes, boolean isNext, long waitedNanos, int waiting) {
        long total = claim.bytes() + bytes;
        if (!claim.account().canEverHold(total)) {
            return Decision.NEVER;
        }
        boolean small = total <= MemoryAccount.SMALL_BYTES;
        if ((small || isNext) && claim.tryGrow(bytes)) {
            return Decision.READ;
        }
        return waitedNanos < maxWaitNanos && waiting < maxWaiting ? Decision.WAIT : Decision.REFUSE;
    }
}
