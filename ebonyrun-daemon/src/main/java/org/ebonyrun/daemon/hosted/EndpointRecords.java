package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.platform.EndpointDecoder;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Applies the records of endpoints in the shared store to the fleet.
 *
 * <p>Invariant: an unreadable record names no endpoint, whether it is new or takes the place of a
 * readable one; the other records hold. At most one line a second is logged of such records.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class EndpointRecords {
    private static final int MAX_LOGGED_CHARS = 200;
    private static final long LOG_NANOS = Nanos.PER_SECOND;

    private final HostedContext mContext;
    private final Fleet mFleet;
    private final CrashController mCrashes;
    private final MonotonicClock mClock;
    // The unreadable records since the last line about them, and the first one of them.
    private int mUnreadable;
    private String mUnreadableKey = "";
    private String mUnreadableWhy = "";
    private boolean mLogged;
    private long mLoggedAt;

    EndpointRecords(
            HostedContext context, Fleet fleet, CrashController crashes, MonotonicClock clock) {
        mContext = context;
        mFleet = fleet;
        mCrashes = crashes;
        mClock = clock;
    }

    private Optional<EndpointRecord> record(StoreItem item) {
        try {
            String id = EndpointDecoder.endpointId(item.key());
            return Optional.of(EndpointDecoder.decode(id, item.value()));
        } catch (IllegalArgumentException e) {
            if (mUnreadable == 0) {
                mUnreadableKey = shorten(item.key());
                mUnreadableWhy = shorten(String.valueOf(e.getMessage()));
            }
            mUnreadable++;
            return Optional.empty();
        }
    }

    private static String shorten(String text) {
        return text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS));
    }

    private void logUnreadable() {
        long now = mClock.nanoTime();
        if (mUnreadable == 0 || (mLogged && now - mLoggedAt < LOG_NANOS)) {
            return;
        }
        mContext.log()
                .write(
                        LogLine.of("endpoint.unreadable")
                                .with("records", mUnreadable)
                                .with("key", mUnreadableKey)
                                .with("why", mUnreadableWhy));
        mUnreadable = 0;
        mLogged = true;
        mLoggedAt = now;
    }

    /** Handles all records in the store. */
    void onSnapshot(List<StoreItem> items) {
        List<EndpointRecord> records = new ArrayList<>();
        items.forEach(item -> record(item).ifPresent(records::add));
        logUnreadable();
        mFleet.onSnapshot(records, mClock.nanoTime());
    }

    /** Handles a record that an endpoint wrote, or that was removed. */
    void onChange(StoreChange change) {
        String key = change.key();
        StoreItem item = change.item();
        String id = EndpointDecoder.endpointId(key);
        Optional<EndpointRecord> record = item == null ? Optional.empty() : record(item);
        Endpoint known = mFleet.get(id);
        String lifeName = known == null ? id : known.record().lifeName();
        if (record.isPresent()) {
            boolean isNew = mFleet.onRecord(record.get());
            if (isNew && known != null) {
                mCrashes.onEndpointCrashed(lifeName);
            }
            if (isNew || record.get().leaving()) {
                mContext.log()
                        .write(
                                LogLine.of("endpoint")
                                        .with("endpoint", id)
                                        .with("service", record.get().service())
                                        .with("software", record.get().software())
                                        .with("leaving", record.get().leaving())
                                        .with("born", record.get().incarnation()));
            }
        } else if (item == null) {
            mContext.log()
                    .write(
                            LogLine.of("endpoint.removed")
                                    .with("endpoint", id)
                                    .with("away", mContext.storeHealth().isUnavailable()));
            mFleet.onRemoved(id, mClock.nanoTime());
            mCrashes.onEndpointCrashed(lifeName);
        } else {
            logUnreadable();
            mFleet.onRemoved(id, mClock.nanoTime());
        }
    }
}
