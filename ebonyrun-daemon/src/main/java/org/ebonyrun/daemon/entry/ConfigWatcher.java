package org.ebonyrun.daemon.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.store.ConfigStore;
import org.ebonyrun.daemon.store.StoredConfig;
import org.tinylog.Logger;

/**
 * Watches the configuration in the key-value service and posts it to the configuration event loop.
 *
 * <p>One watch is open at a time. The next one starts when it completes, or after a delay if it
 * failed. Thread safe.
 */
final class ConfigWatcher {
    private static final long WATCH_MILLIS = 30_000;
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private final EntryContext mContext;
    private volatile long mRevision;

    ConfigWatcher(EntryContext context) {
        mContext = context;
    }

    void start() {
        mContext.mConfigStore.read().thenAccept(this::onResponse);
    }

    private void onResponse(Result<ConfigStore.CurrentConfig> result) {
        result.fold(
                current -> {
                    onConfig(current);
                    return true;
                },
                fault -> {
                    if (!mContext.mTimer.isShutdown()) {
                        Logger.warn("config watch failed: {}", fault.detail());
                        retryLater();
                    }
                    return false;
                });
    }

    private void onConfig(ConfigStore.CurrentConfig current) {
        mRevision = Math.max(mRevision, current.revision());
        StoredConfig config = current.config();
        mContext.mConfigLoop.post(
                (machine, now) -> machine.onConfig(config.version(), config.text()));
        watch();
    }

    private void watch() {
        if (!mContext.mTimer.isShutdown()) {
            mContext.mConfigStore.watch(mRevision, WATCH_MILLIS).thenAccept(this::onResponse);
        }
    }

    private void retryLater() {
        try {
            mContext.mTimer.schedule(this::watch, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException ignored) {
            // The timer has shut down because the entry is closing.
        }
    }
}
