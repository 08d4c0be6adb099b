package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.ports.http.FrontExchange;

/**
 * The submissions of steps that wait for the shared store.
 *
 * <p>Invariants: the sizes of all waiting submissions add up to at most {@value #MAX_BYTES} bytes;
 * each one is submitted again, refused or abandoned by its caller, once.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class HeldSubmissions {
    private static final int MAX_BYTES = 8 << 20;
    private static final long RETRY_NANOS = Nanos.ofMillis(250);

    /**
     * A submission.
     *
     * @param exchange the trainer's request
     * @param id the request's ID
     * @param memory the claim of the step's memory, which the submission holds beside that of its
     *     request
     * @param path the path of the request, which selects its route each time it is tried
     * @param endsAt when the submission is refused if it still waits, by System.nanoTime()
     */
    record Submission(
            FrontExchange exchange,
            String id,
            StepSpec spec,
            MemoryClaim memory,
            String path,
            long endsAt) {
        /** Gives the memory back; called once, when the submission has ended. */
        void releaseMemory() {
            memory.release();
            exchange.memory().release();
        }
    }

    /** Handles the submissions that wait no longer. */
    interface Listener {
        /** Called when a submission can be tried again. */
        void onRetry(Submission submission);

        /** Called when a submission has waited for too long, or the entry stops. */
        void onExpired(Submission submission);
    }

    /** A waiting submission and when it may be tried again. */
    private record Held(Submission submission, long retryAt) {}

    private final BooleanSupplier mStoreAvailable;
    private final Listener mListener;
    private final Map<FrontExchange, Held> mHeld = new LinkedHashMap<>();
    private long mBytes;
    private boolean mDraining;

    /**
     * Creates an empty collection.
     *
     * @param storeAvailable returns whether the shared store is available
     */
    HeldSubmissions(BooleanSupplier storeAvailable, Listener listener) {
        mStoreAvailable = storeAvailable;
        mListener = listener;
    }

    /** Lets a submission wait; returns false if it must be refused instead. */
    boolean hold(Submission submission, long now) {
        int size = submission.exchange().body().length;
        boolean abandoned = submission.exchange().isEnded();
        if (mDraining || abandoned || now - submission.endsAt() >= 0 || mBytes + size > MAX_BYTES) {
            return false;
        }
        // While the store seems available, something else is wrong, which needs some time.
        long retryAt = mStoreAvailable.getAsBoolean() ? now + RETRY_NANOS : now;
        mHeld.put(submission.exchange(), new Held(submission, retryAt));
        mBytes += size;
        return true;
    }

    /** Forgets the submission of a caller that has disconnected. */
    void onAbandoned(FrontExchange exchange) {
        Held held = mHeld.remove(exchange);
        if (held != null) {
            mBytes -= exchange.body().length;
            held.submission().releaseMemory();
        }
    }

    /** Tries submissions again once the store is available, and ends those that waited too long. */
    void onTick(long now) {
        boolean available = mStoreAvailable.getAsBoolean();
        List<Submission> due = new ArrayList<>();
        List<Submission> expired = new ArrayList<>();
        Iterator<Held> iterator = mHeld.values().iterator();
        while (iterator.hasNext()) {
            Held held = iterator.next();
            boolean isExpired = mDraining || now - held.submission().endsAt() >= 0;
            boolean isDue = available && now - held.retryAt() >= 0;
            if (isDue || isExpired) {
                iterator.remove();
                mBytes -= held.submission().exchange().body().length;
                (isDue ? due : expired).add(held.submission());
            }
        }
        due.forEach(mListener::onRetry);
        expired.forEach(mListener::onExpired);
    }

    /** Begins a graceful stop: nothing waits any longer. */
    void onDrain(long now) {
        mDraining = true;
        onTick(now);
    }

    int size() {
        return mHeld.size();
    }
}
