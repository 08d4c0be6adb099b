package org.ebonyrun.core.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.ebonyrun.base.time.Nanos;

/**
 * The calls whose caller left, or whose deadline passed, before their endpoint answered. The
 * endpoint may go on with such a call and crash under it when nobody waits any more.
 *
 * <p>At most {@value #MAX_CALLS} calls are remembered, for a short time.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class UnansweredCalls {
    static final int MAX_CALLS = 256;
    // The record of an endpoint that crashed silently is removed after some seconds.
    private static final long MAX_AGE_NANOS = Nanos.ofMillis(6_000);

    /**
     * A call without an answer.
     *
     * @param call what the call asks for
     * @param requestId the caller's request ID
     * @param endpoint the ID of the endpoint that was sent the call
     * @param endedAt when the call ended
     */
    public record Unanswered(
            CallFingerprint call, String requestId, String endpoint, long endedAt) {}

    private final Deque<Unanswered> mCalls = new ArrayDeque<>();

    /** Adds a call that ended without an answer. */
    public void add(Unanswered call) {
        mCalls.addLast(call);
        if (mCalls.size() > MAX_CALLS) {
            mCalls.removeFirst();
        }
    }

    /** Returns, and forgets, the calls that an endpoint may have crashed under. */
    public List<Unanswered> onEndpointCrashed(String endpoint, long now) {
        mCalls.removeIf(call -> now - call.endedAt() > MAX_AGE_NANOS);
        List<Unanswered> found = new ArrayList<>();
        for (Iterator<Unanswered> it = mCalls.iterator(); it.hasNext(); ) {
            Unanswered call = it.next();
            if (call.endpoint().equals(endpoint)) {
                found.add(call);
                it.remove();
            }
        }
        return found;
    }
}
