package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.stream.SoftwareVersions;
import org.ebonyrun.core.stream.StreamAdmission;
import org.ebonyrun.core.stream.StreamId;
import org.ebonyrun.core.stream.StreamOrigin;
import org.ebonyrun.core.stream.StreamOriginMachine;
import org.ebonyrun.core.stream.StreamOriginOutputs;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StoreLease;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Performs the I/O that the stream origin machine requests: announces software versions, and writes
 * and reads the records of streams.
 *
 * <p>Invariant: records are attached to a lease of their own, so that the store drops those of a
 * killed entry, after its callers have given up.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StreamController implements StreamOriginOutputs {
    /** Receives what began a stream that a caller resumes. */
    interface Listener {
        /**
         * Called once, unless the lookup is abandoned.
         *
         * @param origin what began the stream; null if unknown
         * @param reason how the origin was found, or why it was not
         */
        void onResolved(@Nullable StreamOrigin origin, String reason);
    }

    private static final long LEASE_MILLIS = 60_000;
    private static final long RENEW_NANOS = Nanos.ofMillis(LEASE_MILLIS / 3);

    private final HostedContext mContext;
    private final SharedStore mStore;
    private final StreamOriginMachine mMachine;
    private final Map<Long, Listener> mListeners = new HashMap<>();
    private long mLastLookup;
    private long mLease;
    private long mNextRenewAt;
    private boolean mRenewing;

    StreamController(
            HostedContext context, SharedStore store, Fleet fleet, double storeWritesPerSecond) {
        mContext = context;
        mStore = store;
        mMachine = StreamOriginMachine.create(fleet, storeWritesPerSecond, this);
    }

    StreamOriginMachine machine() {
        return mMachine;
    }

    void onTick(long now) {
        mMachine.onTick(now);
        boolean needed = mMachine.isRecording() || mMachine.streamCount() > 0;
        if (mLease != 0 && needed && !mRenewing && now - mNextRenewAt >= 0) {
            renew(now);
        }
    }

    /** Returns whether a stream may begin at an endpoint. */
    StreamAdmission admit(Endpoint endpoint, long now) {
        return mMachine.admit(endpoint.record(), now);
    }

    /**
     * Handles the beginning of a stream which callers may resume.
     *
     * @param expiresAt when the caller stops waiting
     */
    void onBegun(CallSpec call, StreamId stream, EndpointRecord endpoint, long expiresAt) {
        mMachine.onBegun(
                stream,
                StreamOrigin.of(endpoint),
                call.route().serviceNames(),
                expiresAt,
                System.nanoTime());
    }

    /** Handles a stream that its caller may resume now. */
    void onBroken(ServiceName service) {
        mMachine.onBroken(service, System.nanoTime());
    }

    /** Returns a number for a new lookup. */
    long newLookup() {
        return ++mLastLookup;
    }

    /**
     * Finds out what began a stream.
     *
     * @param lookup the number of the lookup
     * @param stream the stream; null if its caller does not name its first request
     */
    void resolve(long lookup, @Nullable StreamId stream, Route route, Listener listener) {
        mListeners.put(lookup, listener);
        mMachine.resolve(lookup, stream, route.serviceNames());
    }

    /** Ends a lookup whose caller has left. */
    void onAbandoned(long lookup) {
        mListeners.remove(lookup);
        mMachine.onAbandoned(lookup);
    }

    @Override
    public boolean isStoreAvailable() {
        return !mContext.storeHealth().isUnavailable();
    }

    @Override
    public void onResolved(long lookup, @Nullable StreamOrigin origin, String reason) {
        Listener listener = mListeners.remove(lookup);
        if (listener != null) {
            listener.onResolved(origin, reason);
        }
    }

    @Override
    public void onTableChanged(ServiceName service, SoftwareVersions versions) {
        mContext.log()
                .write(
                        LogLine.of("stream.versions")
                                .with("service", service)
                                .with("versions", new TreeSet<>(versions.announced()))
                                .with("absent", new TreeSet<>(versions.absent())));
    }

    /** An announced table as it was read. */
    private record Table(SoftwareVersions versions, long revision) {}

    private Optional<Table> table(Optional<StoreItem> item) {
        if (item.isEmpty()) {
            return Optional.of(new Table(SoftwareVersions.NONE, Transaction.ABSENT));
        }
        try {
            SoftwareVersions versions = StreamCodec.decodeVersions(item.get().value());
            return Optional.of(new Table(versions, item.get().revision()));
        } catch (IllegalArgumentException e) {
            logUnreadable(item.get(), e);
            return Optional.empty();
        }
    }

    private void logUnreadable(StoreItem item, IllegalArgumentException e) {
        mContext.log()
                .write(
                        LogLine.of("store.unreadable")
                                .with("key", item.key())
                                .with("why", e.getMessage()));
    }

    @Override
    public void readTable(ServiceName service) {
        mStore.get(StoreKeys.softwareKey(service))
                .thenAcceptAsync(
                        mContext.callback(result -> onTableRead(service, result)),
                        mContext.executor());
    }

    private void onTableRead(ServiceName service, Result<Optional<StoreItem>> result) {
        Optional<Table> table = result.fold(this::table, fault -> Optional.empty());
        long now = System.nanoTime();
        if (table.isEmpty()) {
            mMachine.onTableFailed(service, now);
        } else {
            mMachine.onTable(service, table.get().versions(), table.get().revision(), now);
        }
    }

    @Override
    public void writeTable(ServiceName service, SoftwareVersions versions, long revision) {
        String key = StoreKeys.softwareKey(service);
        Transaction transaction =
                Transaction.builder()
                        .expect(key, revision)
                        .write(key, StreamCodec.encodeVersions(versions))
                        .build();
        mStore.commit(transaction)
                .thenAcceptAsync(
                        mContext.callback(result -> onTableWritten(service, versions, result)),
                        mContext.executor());
    }

    private void onTableWritten(
            ServiceName service, SoftwareVersions versions, Result<CommitResult> result) {
        long now = System.nanoTime();
        CommitResult commit = result.fold(done -> done, fault -> null);
        if (commit == null) {
            mMachine.onTableFailed(service, now);
        } else if (commit.isCommitted()) {
            mMachine.onTable(service, versions, commit.revision(), now);
        } else {
            onTableRead(service, Result.ok(commit.current().stream().findFirst()));
        }
    }

    @Override
    public void readTableFor(long lookup, ServiceName service) {
        mStore.get(StoreKeys.softwareKey(service))
                .thenAcceptAsync(
                        mContext.callback(result -> onLookupTable(lookup, service, result)),
                        mContext.executor());
    }

    private void onLookupTable(
            long lookup, ServiceName service, Result<Optional<StoreItem>> result) {
        long now = System.nanoTime();
        Optional<Table> table = result.fold(this::table, fault -> Optional.empty());
        if (table.isEmpty()) {
            String reason = result.fold(item -> "the table is unreadable", Fault::detail);
            mMachine.onLookupFailed(lookup, reason, now);
        } else {
            Table read = table.get();
            mMachine.onLookupTable(lookup, service, read.versions(), read.revision(), now);
        }
    }

    @Override
    public void readRecords(long lookup, StreamId stream) {
        StorePages.readAll(mStore, StoreKeys.streamsPrefix(stream.bucket()))
                .thenAcceptAsync(
                        mContext.callback(result -> onRecordsRead(lookup, stream, result)),
                        mContext.executor());
    }

    private void onRecordsRead(long lookup, StreamId stream, Result<StorePage> result) {
        long now = System.nanoTime();
        StorePage page = result.fold(read -> read, fault -> null);
        if (page == null) {
            mMachine.onLookupFailed(lookup, result.fold(read -> "", Fault::detail), now);
        } else {
            mMachine.onRecords(lookup, origins(page.items(), stream), now);
        }
    }

    private Set<StreamOrigin> origins(List<StoreItem> items, StreamId stream) {
        Set<StreamOrigin> origins = new HashSet<>();
        for (StoreItem item : items) {
            try {
                origins.addAll(StreamCodec.decodeOrigins(item.value(), stream));
            } catch (IllegalArgumentException e) {
                logUnreadable(item, e);
            }
        }
        return origins;
    }

    @Override
    public void countEntries() {
        StorePages.readAll(mStore, StoreKeys.streamsPrefix(0))
                .thenAcceptAsync(
                        mContext.callback(
                                result ->
                                        result.fold(
                                                page -> {
                                                    mMachine.onEntries(page.items().size());
                                                    return page;
                                                },
                                                fault -> null)),
                        mContext.executor());
    }

    @Override
    public void writeRecords(Map<Integer, Map<StreamId, StreamOrigin>> buckets) {
        withLease(lease -> commit(buckets, lease));
    }

    private void commit(Map<Integer, Map<StreamId, StreamOrigin>> buckets, long lease) {
        if (lease == 0) {
            mMachine.onRecordsFailed(System.nanoTime());
            return;
        }
        Transaction.Builder transaction = Transaction.builder();
        buckets.forEach(
                (bucket, records) ->
                        transaction.write(
                                StoreKeys.streamsKey(bucket, mContext.self()),
                                StreamCodec.encodeRecords(records),
                                lease));
        mStore.commit(transaction.build())
                .thenAcceptAsync(mContext.callback(this::onRecordsCommitted), mContext.executor());
    }

    private void onRecordsCommitted(Result<CommitResult> result) {
        long now = System.nanoTime();
        CommitResult commit = result.fold(done -> done, fault -> null);
        if (commit != null && commit.isCommitted()) {
            mMachine.onRecordsWritten(now);
            return;
        }
        if (commit != null && commit.outcome() == CommitOutcome.LEASE_ENDED) {
            mLease = 0;
        }
        mMachine.onRecordsFailed(now);
    }

    private void withLease(LongConsumer action) {
        if (mLease != 0) {
            action.accept(mLease);
            return;
        }
        long sentAt = System.nanoTime();
        mStore.grant(LEASE_MILLIS)
                .thenAcceptAsync(
                        mContext.callback(
                                result -> {
                                    mLease = result.fold(StoreLease::id, fault -> 0L);
                                    mNextRenewAt = sentAt + RENEW_NANOS;
                                    action.accept(mLease);
                                }),
                        mContext.executor());
    }

    private void renew(long now) {
        mRenewing = true;
        mStore.renew(mLease)
                .thenAcceptAsync(
                        mContext.callback(result -> onRenewed(result, now)), mContext.executor());
    }

    private void onRenewed(Result<Boolean> result, long sentAt) {
        mRenewing = false;
        mNextRenewAt = sentAt + RENEW_NANOS;
        boolean ended = result.fold(alive -> !alive, fault -> false);
        if (ended) {
            mLease = 0;
            mMachine.onRecordsLost();
        }
    }
}
