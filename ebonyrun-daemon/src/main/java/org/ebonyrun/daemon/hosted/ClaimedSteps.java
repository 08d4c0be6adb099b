package org.ebonyrun.daemon.hosted;

import java.util.List;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.StepId;

/**
 * Loads the steps that an entry has claimed, and gives back those that it can't run, so that
 * another entry can claim them.
 *
 * <p>Invariant: a claim that is passed to {@link #load} ends with one call of the listener, unless
 * the entry ends before.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ClaimedSteps {
    private static final long RETRY_NANOS = Nanos.ofMillis(150);

    /** Receives the end of each claim. */
    interface Listener {
        /** Returns whether the entry stops and takes no more steps. */
        boolean isStopping();

        /** Called with a loaded step, whose memory the listener must release. */
        void onLoaded(StepId id, LoadedStep loaded, OwnerKey key);

        /** Called if a step was ended or taken over while it was being loaded. */
        void onTaken(StepId id);

        /** Called when the owner key of a step that can't run here is removed. */
        void onReleased(StepId id, OwnerKey key);
    }

    private final HostedContext mContext;
    private final StepStore mStore;
    private final StepLoader mLoader;
    private final Listener mListener;

    ClaimedSteps(HostedContext context, StepStore store, StepLoader loader, Listener listener) {
        mContext = context;
        mStore = store;
        mLoader = loader;
        mListener = listener;
    }

    /**
     * Loads a claimed step.
     *
     * @param key the owner key that the claim wrote
     */
    void load(StepId id, OwnerKey key) {
        StepStatus status = mContext.directory().get(id);
        StepManifest manifest = status == null ? null : status.mManifest;
        if (manifest == null || status.isTakenFrom(mContext.self(), key)) {
            mListener.onTaken(id);
        } else if (mListener.isStopping()) {
            release(id, key, "the entry stops");
        } else {
            mLoader.load(
                    id,
                    manifest,
                    result ->
                            result.fold(
                                    loaded -> {
                                        onLoaded(id, manifest, loaded, key);
                                        return true;
                                    },
                                    fault -> {
                                        onNotLoaded(id, key, fault);
                                        return false;
                                    }));
        }
    }

    /**
     * Passes a loaded step on. If its route is not known, refreshes the routes first: a route that
     * is still missing then was removed.
     */
    private void onLoaded(StepId id, StepManifest manifest, LoadedStep loaded, OwnerKey key) {
        if (mContext.routeOf(manifest).isPresent()) {
            mListener.onLoaded(id, loaded, key);
            return;
        }
        mContext.refreshRoutes(
                refreshed -> {
                    if (refreshed) {
                        mListener.onLoaded(id, loaded, key);
                    } else {
                        loaded.memory().release();
                        retryLoad(id, key, "the configuration could not be read");
                    }
                });
    }

    private void onNotLoaded(StepId id, OwnerKey key, Fault fault) {
        if (fault.code() == FaultCode.BAD_REQUEST || fault.code() == FaultCode.OVERLOADED) {
            release(id, key, fault.detail());
        } else {
            retryLoad(id, key, fault.detail());
        }
    }

    private void retryLoad(StepId id, OwnerKey key, String why) {
        mContext.log().write(LogLine.of("step.unloaded").with("step", id).with("why", why));
        mContext.schedule(RETRY_NANOS, () -> load(id, key));
    }

    /** Removes the owner key of a claimed step that can't run here. */
    void release(StepId id, OwnerKey key, String why) {
        mContext.log().write(LogLine.of("step.released").with("step", id).with("why", why));
        mStore.release(id, key.revision(), List.of())
                .thenAcceptAsync(
                        mContext.callback(
                                result ->
                                        result.fold(
                                                commit -> {
                                                    mListener.onReleased(id, key);
                                                    return true;
                                                },
                                                fault -> {
                                                    retryRelease(id, key, fault.detail());
                                                    return false;
                                                })),
                        mContext.executor());
    }

    private void retryRelease(StepId id, OwnerKey key, String why) {
        if (mContext.lease().id() == key.lease()) {
            mContext.schedule(RETRY_NANOS, () -> release(id, key, why));
        } else {
            // The key has ended with its lease.
            mListener.onReleased(id, key);
        }
    }
}
