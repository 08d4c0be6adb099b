package org.ebonyrun.daemon.hosted;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.limit.Permit;
import org.ebonyrun.core.limit.PermitChange;
import org.ebonyrun.core.limit.PermitMachine;
import org.ebonyrun.core.limit.PermitOutputs;
import org.ebonyrun.core.limit.PermitTable;
import org.ebonyrun.core.limit.PermitTimings;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;

/**
 * Performs the I/O that the permit state machine requests: reads the permits of endpoints that
 * limit their requests from the shared store, and acquires and releases them there.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PermitController implements PermitOutputs {
    private final HostedContext mContext;
    private final SharedStore mStore;
    private final PermitMachine mMachine;

    PermitController(
            HostedContext context,
            SharedStore store,
            Fleet fleet,
            Supplier<EntryLimits> limits,
            Random random) {
        mContext = context;
        mStore = store;
        mMachine =
                PermitMachine.create(
                        context.self().format(),
                        fleet,
                        this,
                        () -> PermitTimings.ofContact(limits.get().catchUpMillis()),
                        random);
    }

    PermitMachine machine() {
        return mMachine;
    }

    /** Logs and handles a limit that an endpoint named, changed or ended. */
    void onLimitChanged(Endpoint endpoint) {
        mContext.log()
                .write(
                        LogLine.of("endpoint.limit")
                                .with("endpoint", endpoint.id())
                                .with("service", endpoint.record().service())
                                .with("requests_per_s", endpoint.requestsPerSecond())
                                .with("requests", endpoint.requestCount()));
        mMachine.onLimitChanged(endpoint, System.nanoTime());
    }

    @Override
    public boolean isLeaseValid(long now) {
        return mContext.lease().isValid(now);
    }

    @Override
    public boolean isStoreAvailable() {
        return !mContext.storeHealth().isUnavailable();
    }

    @Override
    public void readTable(ServiceName service) {
        StorePages.readAll(mStore, StoreKeys.permitsPrefix(service))
                .thenAcceptAsync(
                        mContext.callback(result -> onTableRead(service, result)),
                        mContext.executor());
    }

    private void onTableRead(ServiceName service, Result<StorePage> result) {
        long now = System.nanoTime();
        StorePage page = result.fold(read -> read, fault -> null);
        if (page == null) {
            mMachine.onRoundFailed(service, now);
        } else {
            mMachine.onTable(service, table(service, page.items()), now);
        }
    }

    private PermitTable table(ServiceName service, List<StoreItem> items) {
        List<Permit> permits = new ArrayList<>();
        List<StoreItem> waiting = new ArrayList<>();
        for (StoreItem item : items) {
            if (StoreKeys.isWaitingKey(service, item.key())) {
                waiting.add(item);
                continue;
            }
            try {
                permits.add(
                        new Permit(
                                StoreKeys.permitEndpoint(service, item.key()),
                                StoreKeys.permitIndex(item.key()),
                                item.text(),
                                item.revision()));
            } catch (IllegalArgumentException e) {
                mContext.log()
                        .write(
                                LogLine.of("store.unreadable")
                                        .with("key", item.key())
                                        .with("why", e.getMessage()));
            }
        }
        waiting.sort(Comparator.comparingLong(StoreItem::revision));
        return new PermitTable(permits, waiting.stream().map(StoreItem::text).toList());
    }

    @Override
    public void commit(ServiceName service, PermitChange change) {
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                mMachine.onRoundFailed(service, System.nanoTime());
                            } else {
                                commit(service, change, lease);
                            }
                        },
                        System.nanoTime());
    }

    private void commit(ServiceName service, PermitChange change, long lease) {
        byte[] self = mContext.self().format().getBytes(StandardCharsets.UTF_8);
        Transaction.Builder transaction = Transaction.builder();
        for (Permit permit : change.acquired()) {
            String key = StoreKeys.permitKey(service, permit.endpoint(), permit.index());
            transaction.expect(key, Transaction.ABSENT).write(key, self, lease);
        }
        for (Permit permit : change.released()) {
            String key = StoreKeys.permitKey(service, permit.endpoint(), permit.index());
            transaction.expect(key, permit.revision()).remove(key);
        }
        String waitingKey = StoreKeys.waitingKey(service, mContext.self());
        if (change.waiting()) {
            transaction.write(waitingKey, self, lease);
        } else {
            transaction.remove(waitingKey);
        }
        mStore.commit(transaction.build())
                .thenAcceptAsync(
                        mContext.callback(result -> onCommitEnd(service, change, result)),
                        mContext.executor());
    }

    private void onCommitEnd(
            ServiceName service, PermitChange change, Result<CommitResult> result) {
        long now = System.nanoTime();
        CommitResult commit = result.fold(done -> done, fault -> null);
        String outcome;
        if (commit == null) {
            outcome = "unknown";
            mMachine.onRoundFailed(service, now);
        } else if (commit.isCommitted()) {
            outcome = "committed";
            mMachine.onCommitted(service, commit.revision(), now);
        } else {
            outcome = "conflict";
            mMachine.onConflict(service, now);
        }
        mContext.log()
                .write(
                        LogLine.of("permits")
                                .with("service", service)
                                .with("acquired", change.acquired().size())
                                .with("released", change.released().size())
                                .with("waiting", change.waiting())
                                .with("held", mMachine.permitCount())
                                .with("outcome", outcome));
    }
}
