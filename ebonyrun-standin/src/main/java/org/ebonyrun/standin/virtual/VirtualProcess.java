package org.ebonyrun.standin.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ebonyrun.base.time.Nanos;

/**
 * A process that can crash, restart, and stand still. What was scheduled before a crash never runs;
 * what arrives while it stands still runs when it goes on.
 *
 * <p>Not thread safe.
 */
abstract class VirtualProcess {
    private static final long RESTART_NANOS = Nanos.ofMillis(2_000);

    final VirtualDeployment mDeployment;
    final VirtualClock mClock;
    private final List<Runnable> mBacklog = new ArrayList<>();
    private boolean mAlive;
    private long mPausedUntil;
    private long mLife;
    private boolean mTerminating;

    VirtualProcess(VirtualDeployment world) {
        mDeployment = world;
        mClock = world.mClock;
    }

    /** Makes a fresh process. */
    abstract void onStart();

    /** Forgets everything, and cuts all connections. */
    abstract void onCrash();

    final void start() {
        mAlive = true;
        mLife++;
        mPausedUntil = 0;
        onStart();
    }

    final boolean isAlive() {
        return mAlive;
    }

    /** Dies now and restarts two seconds later, unless it was told to terminate. */
    final void crash() {
        if (!mAlive) {
            return;
        }
        stop();
        if (!mTerminating) {
            mClock.schedule(RESTART_NANOS, this::start);
        }
    }

    /** Takes note that the supervisor told the process to terminate, and won't restart it. */
    final void markTerminating() {
        mTerminating = true;
    }

    final boolean isTerminating() {
        return mTerminating;
    }

    /** Dies now and stays away. */
    final void stop() {
        mAlive = false;
        mLife++;
        mBacklog.clear();
        onCrash();
    }

    /** Stands still for a while. */
    final void pause(long nanos) {
        if (!mAlive) {
            return;
        }
        mPausedUntil = mClock.now() + nanos;
        long life = mLife;
        mClock.schedule(
                nanos,
                () -> {
                    if (life == mLife) {
                        List<Runnable> backlog = List.copyOf(mBacklog);
                        mBacklog.clear();
                        backlog.forEach(Runnable::run);
                    }
                });
    }

    /** Runs an action in the process: now, or when it goes on; never if it is dead. */
    final void run(Runnable action) {
        if (!mAlive) {
            return;
        }
        if (mClock.now() < mPausedUntil) {
            mBacklog.add(action);
        } else {
            action.run();
        }
    }

    /** Runs an action later, if the process has not died until then. */
    final void schedule(long nanos, Runnable action) {
        long life = mLife;
        mClock.schedule(
                nanos,
                () -> {
                    if (life == mLife) {
                        run(action);
                    }
                });
    }

    /** Runs an action once a period, until the process dies. */
    final void scheduleEvery(long nanos, Runnable action) {
        schedule(
                nanos,
                () -> {
                    action.run();
                    scheduleEvery(nanos, action);
                });
    }

    /** Hands an action to another duty of the process. */
    final void post(Runnable action) {
        schedule(0, action);
    }

    /** Returns an action that does nothing if the process dies before it is called. */
    final Runnable guarded(Runnable action) {
        long life = mLife;
        return () -> {
            if (life == mLife) {
                run(action);
            }
        };
    }

    /** Handles a future's value in the process, unless the process dies before. */
    final <T> void whenDone(CompletableFuture<T> future, Consumer<T> handler) {
        long life = mLife;
        future.thenAccept(
                value -> {
                    if (life == mLife) {
                        run(() -> handler.accept(value));
                    }
                });
    }
}
