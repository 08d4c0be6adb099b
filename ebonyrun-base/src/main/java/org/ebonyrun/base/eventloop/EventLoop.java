package org.ebonyrun.base.eventloop;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;

/**
 * A thread with one duty, fed by a bounded ring.
 *
 * <p>Events are handled in the order in which each producer offered them. A full ring refuses the
 * event; the producer decides what that means and never drops it silently.
 *
 * <p>Thread safe. The ring has many producers and one consumer, the duty's own thread. The consumer
 * publishes {@code mParked} before it looks at the ring for the last time, and producers look at
 * {@code mParked} after they have offered, so a wake-up is never lost.
 *
 * @param <E> the type of event
 */
public final class EventLoop<E> implements AutoCloseable {
    private static final long STUCK_SECONDS = 10;
    private static final long FULL_PARK_NANOS = Nanos.ofMillis(1);
    private static final int EXIT_STUCK = 70;

    private final String mName;
    private final MpscArrayQueue<Object> mRing;
    private final EventHandler<E> mHandler;
    private final MonotonicClock mClock;
    private final long mTickNanos;
    private final Thread mThread;
    private final AtomicLong mRefused = new AtomicLong();
    private volatile boolean mParked;
    private volatile boolean mClosed;

    private EventLoop(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos) {
        checkArgument(capacity >= 2, "capacity is below 2: %s", capacity);
        checkArgument(tickNanos > 0, "tick is not positive: %s ns", tickNanos);
        mName = name;
        mRing = new MpscArrayQueue<>(capacity);
        mHandler = handler;
        mClock = clock;
        mTickNanos = tickNanos;
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Creates and starts a duty.
     *
     * @param capacity the least number of events that the ring holds
     * @param tickNanos the period of {@link EventHandler#onTick}, in nanoseconds
     */
    public static <E> EventLoop<E> start(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos) {
        EventLoop<E> duty = create(name, capacity, handler, clock, tickNanos);
        duty.launch();
        return duty;
    }

    /**
     * Creates a duty whose thread does not run yet, for duties that refer to each other.
     *
     * @param capacity the least number of events that the ring holds
     * @param tickNanos the period of {@link EventHandler#onTick}, in nanoseconds
     */
    public static <E> EventLoop<E> create(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos) {
        return new EventLoop<>(name, capacity, handler, clock, tickNanos);
    }

    /**
     * Starts the thread.
     *
     * @throws IllegalThreadStateException if it was started before
     */
    public void launch() {
        mThread.start();
    }

    /** Returns the name of the duty. */
    public String name() {
        return mName;
    }

    /** Offers an event; returns whether the ring had room for it. */
    public boolean offer(E event) {
        return enqueue(event);
    }

    /**
     * Offers an event that must not be lost, and waits while the ring is full, which slows the
     * producer down. A ring that stays full for {@value #STUCK_SECONDS} seconds ends the process: a
     * restart is a case that every peer handles, a lost event is not.
     */
    public void post(E event) {
        long deadline = System.nanoTime() + STUCK_SECONDS * Nanos.PER_SECOND;
        while (!enqueue(event) && !mClosed) {
            if (System.nanoTime() - deadline >= 0) {
                Logger.error("duty={} ring full for {} s, ending", mName, STUCK_SECONDS);
                Runtime.getRuntime().halt(EXIT_STUCK);
            }
            LockSupport.parkNanos(FULL_PARK_NANOS);
        }
    }

    /** Returns the number of events that wait. */
    public int depth() {
        return mRing.size();
    }

    /** Returns the number of events that the ring holds at most. */
    public int capacity() {
        return mRing.capacity();
    }

    /** Returns how many events were refused because the ring was full. */
    public long refused() {
        return mRefused.get();
    }

    /**
     * Evaluates {@code query} on the duty's thread, between events.
     *
     * @return the value, or an exceptional completion when the ring is full or the query throws
     */
    public <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Runnable task = () -> complete(answer, query);
        if (!enqueue(task)) {
            answer.completeExceptionally(new IllegalStateException("ring full: " + mName));
        }
        return answer;
    }

    /** Stops the thread after the event that it handles now. Waiting events are not handled. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }

    private static <T> void complete(CompletableFuture<T> answer, Supplier<T> query) {
        try {
            answer.complete(query.get());
        } catch (RuntimeException e) {
            answer.completeExceptionally(e);
        }
    }

    private boolean enqueue(Object event) {
        if (!mRing.offer(event)) {
            mRefused.incrementAndGet();
            return false;
        }
        if (mParked) {
            LockSupport.unpark(mThread);
        }
        return true;
    }

    private void run() {
        long nextTick = mClock.nanoTime() + mTickNanos;
        while (!mClosed) {
            Object event = mRing.poll();
            if (event != null) {
                handle(event);
            }
            long now = mClock.nanoTime();
            if (now - nextTick >= 0) {
                tick(now);
                nextTick = now + mTickNanos;
            }
            if (event == null) {
                park(nextTick - now);
            }
        }
    }

    private void park(long nanos) {
        mParked = true;
        if (mRing.isEmpty() && !mClosed) {
            LockSupport.parkNanos(nanos);
        }
        mParked = false;
    }

    @SuppressWarnings("unchecked")
    private void handle(Object event) {
        try {
            if (event instanceof Runnable task) {
                task.run();
            } else {
                mHandler.onEvent((E) event, mClock.nanoTime());
            }
        } catch (RuntimeException e) {
            Logger.error(e, "duty={} event={} failed", mName, event.getClass().getSimpleName());
        }
    }

    private void tick(long now) {
        try {
            mHandler.onTick(now);
        } catch (RuntimeException e) {
            Logger.error(e, "duty={} tick failed", mName);
        }
    }
}
