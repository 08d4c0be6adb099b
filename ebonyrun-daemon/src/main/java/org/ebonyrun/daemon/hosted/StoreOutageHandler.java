package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.RecordExpiry;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Probes the shared store while it is unavailable, and tells the parts of an entry when that begins
 * and ends.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StoreOutageHandler implements StoreHealth.Listener {
    private final HostedContext mContext;
    private final InstrumentedStore mStore;
    private final Fleet mFleet;
    private final List<StoreWatch> mWatches;
    private final MonotonicClock mClock;
    // When the store responded for the last time before the outage.
    private long mSilentSince;

    StoreOutageHandler(
            HostedContext context, InstrumentedStore store, Fleet fleet, List<StoreWatch> watches) {
        this(context, store, fleet, watches, MonotonicClock.system());
    }

    StoreOutageHandler(
            HostedContext context,
            InstrumentedStore store,
            Fleet fleet,
            List<StoreWatch> watches,
            MonotonicClock clock) {
        mContext = context;
        mStore = store;
        mFleet = fleet;
        mWatches = watches;
        mClock = clock;
    }

    @Override
    public void sendProbe(int round) {
        mStore.get(StoreKeys.PLANNER)
                .thenAcceptAsync(
                        mContext.callback(result -> onProbeEnd(round, result)),
                        mContext.executor());
    }

    private void onProbeEnd(int round, Result<Optional<StoreItem>> result) {
        String fault = result.fold(item -> "", Fault::detail);
        mContext.storeHealth().onProbeEnd(round, fault, System.nanoTime());
    }

    @Override
    public void onUnavailable(String why) {
        mSilentSince = mStore.respondedAt();
        mFleet.onStoreUnavailable();
        mContext.log().write(LogLine.of("store.away").with("why", why));
    }

    @Override
    public void onAvailable() {
        long now = mClock.nanoTime();
        long silence = now - mSilentSince;
        long heartbeat = Nanos.ofMillis(mContext.settings().limits().heartbeatMillis());
        boolean mayHaveExpired = RecordExpiry.mayHaveExpired(silence, heartbeat);
        mFleet.onStoreAvailable(mayHaveExpired, now);
        mWatches.forEach(StoreWatch::onStoreAvailable);
        mContext.log()
                .write(
                        LogLine.of("store.back")
                                .with("silent_ms", Nanos.toMillis(silence))
                                .with("expired", mayHaveExpired));
    }
}
