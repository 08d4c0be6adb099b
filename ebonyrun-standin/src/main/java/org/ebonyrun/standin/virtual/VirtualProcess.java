package org.ebonyrun.standin.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ebonyrun.base.time.Nanos;

/**
 * A process that can crash, restart and be paused. Actions scheduled before a crash never run;
 * actions that fall into a pause run at its end.
 *
 * <p>Not thread safe.
 */
abstract class VirtualProcess {
    private static final long RESTART_NANOS = Nanos.ofMillis(2_000);

    final VirtualDeployment mDeployment;
    final VirtualClock mClock;
    private final List<Runnable> mDeferredActions = new ArrayList<>();
    private boolean mAlive;
    private long mPausedUntil;
    private long mIncarnation;
    private boolean mTerminating;

    VirtualProcess(VirtualDeployment deployment) {
        mDeployment = deployment;
        mClock = deployment.mClock;
    }

    /** Initializes the state of a new incarnation of the process. */
    abstract void onStart();

    /** Drops all state and closes all connections. */
    abstract void onCrash();

    final void start() {
        mAlive = true;
        mIncarnation++;
        mPausedUntil = 0;
        onStart();
    }

    final boolean isAlive() {
        return mAlive;
    }

    /** Crashes the process, which restarts two seconds later unless it is terminating. */
    final void crash() {
        if (!mAlive) {
            return;
        }
        stop();
        if (!mTerminating) {
            mClock.schedule(RESTART_NANOS, this::start);
        }
    }

    /** Records that the supervisor is terminating the process and will not restart it. */
    final void markTerminating() {
        mTerminating = true;
    }

    final boolean isTerminating() {
        return mTerminating;
    }

    /** Stops the process without a restart. */
    final void stop() {
        mAlive = false;
        mIncarnation++;
        mDeferredActions.clear();
        onCrash();
    }

    /** Pauses the process; actions that fall into the pause run when it ends. */
    final void pause(long nanos) {
        if (!mAlive) {
            return;
        }
        mPausedUntil = mClock.now() + nanos;
        long incarnation = mIncarnation;
        mClock.schedule(
                nanos,
                () -> {
                    if (incarnation == mIncarnation) {
                        List<Runnable> deferred = List.copyOf(mDeferredActions);
                        mDeferredActions.clear();
                        deferred.forEach(Runnable::run);
                    }
                });
    }

    /** Runs an action now, or at the end of a pause; drops it if the process is not alive. */
    final void run(Runnable action) {
        if (!mAlive) {
            return;
        }
        if (mClock.now() < mPausedUntil) {
            mDeferredActions.add(action);
        } else {
            action.run();
        }
    }

    /** Schedules an action, which is dropped if the process stops before it is due. */
    final void schedule(long nanos, Runnable action) {
        long incarnation = mIncarnation;
        mClock.schedule(
                nanos,
                () -> {
                    if (incarnation == mIncarnation) {
                        run(action);
                    }
                });
    }

    /** Schedules an action to run after each period until the process stops. */
    final void scheduleEvery(long nanos, Runnable action) {
        schedule(
                nanos,
                () -> {
                    action.run();
                    scheduleEvery(nanos, action);
                });
    }

    /** Schedules an action without a delay, like a post to another event loop of the process. */
    final void post(Runnable action) {
        schedule(0, action);
    }

    /** Wraps an action so that it does nothing once this incarnation of the process has stopped. */
    final Runnable guarded(Runnable action) {
        long incarnation = mIncarnation;
        return () -> {
            if (incarnation == mIncarnation) {
                run(action);
            }
        };
    }

    /** Passes a future's value to a handler, unless the process stops before it is complete. */
    final <T> void whenDone(CompletableFuture<T> future, Consumer<T> handler) {
        long incarnation = mIncarnation;
        future.thenAccept(
                value -> {
                    if (incarnation == mIncarnation) {
                        run(() -> handler.accept(value));
                    }
                });
    }
}
