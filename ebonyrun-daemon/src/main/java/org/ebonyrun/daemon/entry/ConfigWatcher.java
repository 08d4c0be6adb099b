package org.ebonyrun.daemon.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.store.ConfigStore;
import org.ebonyrun.daemon.store.StoredConfig;
import org.tinylog.Logger;

/**
 * Watches the configuration in the key-value service and hands it to the configuration duty.
 *
 * <p>One watch is open at a time; the next begins when it answers, or after a pause if it failed.
 * Thread safe.
 */
final class ConfigWatcher {
    private static final long WATCH_MILLIS = 30_000;
    private static final long PAUSE_MILLIS = 1_000;

    private final EntryContext mContext;
    private volatile long mRevision;

    ConfigWatcher(EntryContext context) {
        mContext = context;
    }

    void start() {
        mContext.mConfigStore.read().thenAccept(this::onAnswer);
    }

    private void onAnswer(Result<ConfigStore.CurrentConfig> result) {
        result.fold(
                current -> {
                    onCurrent(current);
                    return true;
                },
                fault -> {
                    if (!mContext.mTimer.isShutdown()) {
                        Logger.warn("config watch failed: {}", fault.detail());
                        pause();
                    }
                    return false;
                });
    }

    private void onCurrent(ConfigStore.CurrentConfig current) {
        mRevision = Math.max(mRevision, current.revision());
        StoredConfig config = current.config();
        mContext.mConfigLoop.post(
                (machine, now) -> machine.onConfig(config.version(), config.text()));
        watch();
    }

    private void watch() {
        if (!mContext.mTimer.isShutdown()) {
            mContext.mConfigStore.watch(mRevision, WATCH_MILLIS).thenAccept(this::onAnswer);
        }
    }

    private void pause() {
        try {
            mContext.mTimer.schedule(this::watch, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException ignored) {
            // The entry is closing.
        }
    }
}
