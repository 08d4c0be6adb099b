package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.scaling.LoadMeter;
import org.ebonyrun.core.scaling.ServiceLoad;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.Transaction;

/**
 * Measures the load that this entry has at the services that are scaled, and keeps it in the shared
 * store for the holder of the duties.
 *
 * <p>Invariants: at most one write is open; an entry without load has no record. Without a scaled
 * service, nothing is measured or written.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class LoadReporter {
    /** The time between two writes of a load that changes. */
    static final long WRITE_NANOS = Nanos.ofMillis(3_000);

    /** The time between two writes of a load that doesn't change. */
    static final long REWRITE_NANOS = Nanos.ofMillis(6_000);

    private static final long OBSERVE_NANOS = Nanos.ofMillis(100);
    private static final double CHANGED_PLACES = 1;
    private static final double CHANGED_SHARE = 0.2;

    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final Fleet mFleet;
    private final ToIntFunction<ServiceName> mOpenCalls;
    private final String mKey;
    private final Map<ServiceName, LoadMeter> mMeters = new HashMap<>();
    private Map<ServiceName, ServiceLoad> mWritten = Map.of();
    // An earlier process of this VM may have left a record.
    private boolean mMayBeOutdated = true;
    private boolean mWriting;
    private long mWrittenAt;
    private long mObservedAt;
    private long mReadAt;

    /**
     * Creates a reporter without services.
     *
     * @param openCalls returns the number of open calls of a service
     */
    LoadReporter(
            HostedContext context,
            SharedStore sharedStore,
            Fleet fleet,
            ToIntFunction<ServiceName> openCalls,
            String vm) {
        mContext = context;
        mSharedStore = sharedStore;
        mFleet = fleet;
        mOpenCalls = openCalls;
        mKey = StoreKeys.loadKey(vm);
    }

    /** Sets the services whose load is measured. */
    void setServices(Set<ServiceName> services, long now) {
        mMeters.keySet().retainAll(services);
        for (ServiceName service : services) {
            mMeters.computeIfAbsent(service, name -> new LoadMeter(now));
        }
    }

    /** Handles the refusal of a call. */
    void onRefused(ServiceName service) {
        LoadMeter meter = mMeters.get(service);
        if (meter != null) {
            meter.onRefused();
        }
    }

    void onTick(long now) {
        boolean needed = !mMeters.isEmpty() || !mWritten.isEmpty();
        if (!needed || now - mObservedAt < OBSERVE_NANOS) {
            return;
        }
        mObservedAt = now;
        mMeters.forEach(
                (service, meter) ->
                        meter.observe(endpoints(service), mOpenCalls.applyAsInt(service), now));
        if (now - mReadAt >= WRITE_NANOS && !mWriting) {
            mReadAt = now;
            write(readLoads(now), now);
        }
    }

    private List<Endpoint> endpoints(ServiceName service) {
        return mFleet.all().stream().filter(e -> e.record().service().equals(service)).toList();
    }

    private Map<ServiceName, ServiceLoad> readLoads(long now) {
        Map<ServiceName, ServiceLoad> loads = new HashMap<>();
        mMeters.forEach((service, meter) -> loads.put(service, meter.read(now)));
        return loads.entrySet().stream()
                .filter(entry -> !entry.getValue().isZero())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private void write(Map<ServiceName, ServiceLoad> loads, long now) {
        boolean rewrite = !loads.isEmpty() && now - mWrittenAt >= REWRITE_NANOS;
        if (mMayBeOutdated || rewrite || hasChanged(loads)) {
            commit(loads, now);
        }
    }

    private boolean hasChanged(Map<ServiceName, ServiceLoad> loads) {
        if (!loads.keySet().equals(mWritten.keySet())) {
            return true;
        }
        return loads.entrySet().stream()
                .anyMatch(
                        entry -> {
                            ServiceLoad before = mWritten.get(entry.getKey());
                            ServiceLoad after = entry.getValue();
                            return differ(before.calls(), after.calls())
                                    || differ(before.samples(), after.samples());
                        });
    }

    private static boolean differ(double before, double after) {
        double change = Math.abs(after - before);
        return change >= CHANGED_PLACES && change >= CHANGED_SHARE * before;
    }

    private void commit(Map<ServiceName, ServiceLoad> loads, long now) {
        Transaction.Builder transaction = Transaction.builder();
        if (loads.isEmpty()) {
            transaction.remove(mKey);
        } else {
            transaction.write(mKey, LoadCodec.encode(loads));
        }
        mWriting = true;
        mWrittenAt = now;
        mWritten = loads;
        mSharedStore
                .commit(transaction.build())
                .thenAcceptAsync(mContext.callback(this::onCommitted), mContext.executor());
    }

    private void onCommitted(Result<CommitResult> result) {
        mWriting = false;
        mMayBeOutdated = !result.fold(CommitResult::isCommitted, fault -> false);
        if (mMayBeOutdated) {
            String why = result.fold(commit -> commit.outcome().name(), fault -> fault.detail());
            mContext.log().write(LogLine.of("scaling.load_unstored").with("why", why));
        }
    }

    /** Removes the record, since the entry is about to end. */
    void onDrained(long now) {
        mMeters.clear();
        if (!mWritten.isEmpty()) {
            commit(Map.of(), now);
        }
    }
}
