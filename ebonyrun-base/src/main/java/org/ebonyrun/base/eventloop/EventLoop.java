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
 * A thread that handles events from a bounded ring.
 *
 * <p>The events of each producer are handled in the order in which it offered them. A full ring
 * refuses the event; the producer has to handle the refusal and must not drop the event silently.
 *
 * <p>Thread safe. The ring has many producers and one consumer, the event loop's thread. The
 * consumer sets {@code mParked} before it checks the ring for the last time, and producers check
 * {@code mParked} after they have offered an event, so no wake-up is lost.
 *
 * <p>An exception ends the handling of one event. An {@link Error} ends the thread, and with it the
 * process, if {@link FatalErrors} is installed.
 *
 * @param <E> the type of event
 */
public final class EventLoop<E> implements AutoCloseable {
    private static final long MAX_FULL_SECONDS = 10;
    private static final long FULL_RING_PARK_NANOS = Nanos.ofMillis(1);
    private static final int EXIT_RING_FULL = 70;

    private final String mName;
    private final MpscArrayQueue<Object> mRing;
    private final EventHandler<E> mHandler;
    private final MonotonicClock mClock;
    private final long mTickNanos;
    private final EventLoopErrorListener mErrorListener;
    private final Thread mThread;
    private final AtomicLong mRefused = new AtomicLong();
    private volatile boolean mParked;
    private volatile boolean mClosed;

    private EventLoop(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos,
            EventLoopErrorListener errorListener) {
        checkArgument(capacity >= 2, "capacity is below 2: %s", capacity);
        checkArgument(tickNanos > 0, "tick is not positive: %s ns", tickNanos);
        mName = name;
        mRing = new MpscArrayQueue<>(capacity);
        mHandler = handler;
        mClock = clock;
        mTickNanos = tickNanos;
        mErrorListener = errorListener;
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Creates and starts an event loop.
     *
     * @param capacity the minimum capacity of the ring, in events
     * @param tickNanos the period of {@link EventHandler#onTick}, in nanoseconds
     */
    public static <E> EventLoop<E> start(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos) {
        EventLoop<E> eventLoop = create(name, capacity, handler, clock, tickNanos);
        eventLoop.launch();
        return eventLoop;
    }

    /**
     * Creates an event loop without starting its thread, for event loops that refer to each other.
     *
     * @param capacity the minimum capacity of the ring, in events
     * @param tickNanos the period of {@link EventHandler#onTick}, in nanoseconds
     */
    public static <E> EventLoop<E> create(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos) {
        return create(
                name,
                capacity,
                handler,
                clock,
                tickNanos,
                (what, e) -> Logger.error(e, "event loop {}: {} failed", name, what));
    }

    /**
     * Creates an event loop without starting its thread.
     *
     * @param capacity the minimum capacity of the ring, in events
     * @param tickNanos the period of {@link EventHandler#onTick}, in nanoseconds
     * @param errorListener receives the exceptions of the handler
     */
    public static <E> EventLoop<E> create(
            String name,
            int capacity,
            EventHandler<E> handler,
            MonotonicClock clock,
            long tickNanos,
            EventLoopErrorListener errorListener) {
        return new EventLoop<>(name, capacity, handler, clock, tickNanos, errorListener);
    }

    /**
     * Starts the thread.
     *
     * @throws IllegalThreadStateException if the thread was already started
     */
    public void launch() {
        mThread.start();
    }

    /** Returns the name of the event loop and its thread. */
    public String name() {
        return mName;
    }

    /** Offers an event; returns false, without enqueuing the event, if the ring is full. */
    public boolean offer(E event) {
        return enqueue(event);
    }

    /**
     * Enqueues an event that must not be lost. Blocks while the ring is full, which applies
     * backpressure to the producer. Halts the process if the ring stays full for {@value
     * #MAX_FULL_SECONDS} seconds, because every peer handles a restart of the process, but not the
     * loss of an event. Returns without enqueuing the event if the ring is full and the event loop
     * is closed.
     */
    public void post(E event) {
        long deadline = System.nanoTime() + MAX_FULL_SECONDS * Nanos.PER_SECOND;
        while (!enqueue(event) && !mClosed) {
            if (System.nanoTime() - deadline >= 0) {
                Logger.error(
                        "event loop {}: ring full for {} s; halting the process",
                        mName,
                        MAX_FULL_SECONDS);
                Runtime.getRuntime().halt(EXIT_RING_FULL);
            }
            LockSupport.parkNanos(FULL_RING_PARK_NANOS);
        }
    }

    /** Returns the number of queued events. */
    public int depth() {
        return mRing.size();
    }

    /** Returns the capacity of the ring, in events. */
    public int capacity() {
        return mRing.capacity();
    }

    /** Returns the number of offers that were refused because the ring was full. */
    public long refused() {
        return mRefused.get();
    }

    /**
     * Evaluates {@code query} on the event loop's thread, between events.
     *
     * @return a future with the value; it completes exceptionally if the ring is full or the query
     *     throws
     */
    public <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable task = () -> complete(result, query);
        if (!enqueue(task)) {
            result.completeExceptionally(
                    new IllegalStateException("ring full in event loop " + mName));
        }
        return result;
    }

    /** Stops the thread after the current event. Queued events are not handled. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mThread);
    }

    private static <T> void complete(CompletableFuture<T> result, Supplier<T> query) {
        try {
            result.complete(query.get());
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
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
            mErrorListener.onException("event of type " + event.getClass().getSimpleName(), e);
        }
    }

    private void tick(long now) {
        try {
            mHandler.onTick(now);
        } catch (RuntimeException e) {
            mErrorListener.onException("tick", e);
        }
    }
}
