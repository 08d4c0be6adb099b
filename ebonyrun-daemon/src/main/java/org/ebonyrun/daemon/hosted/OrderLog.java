package org.ebonyrun.daemon.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.swap.OrderAges;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;

/**
 * Records in the shared store how long ago the planner sent a weight order to which endpoint. With
 * these ages, the next holder of the planner role does not have to wait, for all endpoints, until
 * the orders of its predecessor can no longer take effect.
 *
 * <p>This matters when trainers name versions while the planner's VM stops or loses the store: the
 * next holder can immediately order those endpoints that have had no recent order.
 *
 * <p>Invariants: an order is sent only after the store has recorded it, in a transaction that
 * expects the planner's key to be unchanged, so a holder that has lost the key sends none; an age
 * that is read is never above the true age. An age is the difference of two readings of the same
 * monotonic clock.
 *
 * <p>Not thread safe; confined to the event loop behind {@code executor}.
 */
final class OrderLog {
    // The longest time between the computation of an order's age and the sending of the order. An
    // order whose record takes longer to commit is refused. A reader subtracts this time from
    // recorded ages, so that they are never above the true ages.
    private static final long MAX_SEND_DELAY_NANOS = Nanos.ofMillis(1_000);
    private static final String FENCE = "fence";
    private static final String OWN_AGES = "own_ms";
    private static final String EARLIER_AGES = "earlier_ms";
    private static final Optional<OrderAges> UNKNOWN = Optional.empty();

    /** An order that has not been recorded yet. */
    private record PendingOrder(Runnable send, Runnable refuse) {}

    private final SharedStore mStore;
    private final Executor mExecutor;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final LongFunction<Optional<OrderAges>> mAges;
    private final Consumer<String> mOnLost;
    private List<PendingOrder> mPending = new ArrayList<>();
    private boolean mCommitPending;
    private long mFence;

    /**
     * Creates a log.
     *
     * @param ages returns the ages of orders at a time; empty if they are unknown
     * @param onLost called with the reason when this holder no longer holds the planner's key
     */
    OrderLog(
            SharedStore store,
            Executor executor,
            MonotonicClock clock,
            EventLog log,
            LongFunction<Optional<OrderAges>> ages,
            Consumer<String> onLost) {
        mStore = store;
        mExecutor = executor;
        mClock = clock;
        mLog = log;
        mAges = ages;
        mOnLost = onLost;
    }

    /**
     * Reads the ages of orders that the previous holder has recorded.
     *
     * @param predecessor the fence of the previous holder; zero if it is unknown
     * @param callback receives the ages; empty if they are unknown or of another holder
     */
    void read(long predecessor, Consumer<Optional<OrderAges>> callback) {
        mStore.get(StoreKeys.ORDERS)
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor,
                                result ->
                                        callback.accept(
                                                result.fold(
                                                        i -> ages(i, predecessor), f -> UNKNOWN))),
                        mExecutor);
    }

    private Optional<OrderAges> ages(Optional<StoreItem> item, long predecessor) {
        if (item.isEmpty()) {
            return UNKNOWN;
        }
        try {
            JsonNode json = JsonTrees.read(item.get().value());
            long fence = json.path(FENCE).asLong();
            if (predecessor != 0 && fence != predecessor) {
                return UNKNOWN;
            }
            return Optional.of(
                    new OrderAges(ages(json.path(OWN_AGES)), ages(json.path(EARLIER_AGES))));
        } catch (IllegalArgumentException e) {
            mLog.write(
                    LogLine.of("store.unreadable")
                            .with("key", StoreKeys.ORDERS)
                            .with("why", e.getMessage()));
            return UNKNOWN;
        }
    }

    private static Map<String, Long> ages(JsonNode millis) {
        Map<String, Long> ages = new HashMap<>();
        millis.properties()
                .forEach(
                        age -> {
                            long recorded = Nanos.ofMillis(age.getValue().asLong());
                            ages.put(age.getKey(), recorded - MAX_SEND_DELAY_NANOS);
                        });
        return ages;
    }

    /** Starts to record orders under a fence. */
    void start(long fence) {
        mFence = fence;
    }

    /**
     * Records an order and then sends it, or refuses it if it could not be recorded in time. Orders
     * that arrive while a transaction is open share the next one.
     */
    void recordThenSend(Runnable send, Runnable refuse) {
        mPending.add(new PendingOrder(send, refuse));
        if (!mCommitPending) {
            commitPending();
        }
    }

    /** Adds the ages of orders, if known, to a transaction that releases the planner's key. */
    void addOrderAges(Transaction.Builder release) {
        mAges.apply(mClock.nanoTime())
                .ifPresent(ages -> release.write(StoreKeys.ORDERS, encode(ages)));
    }

    private void commitPending() {
        long now = mClock.nanoTime();
        Optional<OrderAges> ages = mAges.apply(now);
        List<PendingOrder> batch = mPending;
        mPending = new ArrayList<>();
        if (ages.isEmpty()) {
            batch.forEach(order -> order.refuse().run());
            return;
        }
        mCommitPending = true;
        long fence = mFence;
        mStore.commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, fence)
                                .write(StoreKeys.ORDERS, encode(ages.get()))
                                .build())
                .thenAcceptAsync(
                        EventLoopCallbacks.rethrowing(
                                mExecutor, result -> onStored(batch, fence, now, result)),
                        mExecutor);
    }

    private byte[] encode(OrderAges ages) {
        ObjectNode json = JsonTrees.object();
        json.put(FENCE, mFence);
        put(json.putObject(OWN_AGES), ages.own());
        put(json.putObject(EARLIER_AGES), ages.earlier());
        return JsonTrees.write(json);
    }

    private static void put(ObjectNode millis, Map<String, Long> ages) {
        ages.forEach((endpoint, age) -> millis.put(endpoint, Nanos.toMillis(age)));
    }

    private void onStored(
            List<PendingOrder> batch, long fence, long sentAt, Result<CommitResult> result) {
        mCommitPending = false;
        boolean stored = result.fold(CommitResult::isCommitted, fault -> false);
        boolean conflict =
                result.fold(commit -> commit.outcome() == CommitOutcome.CONFLICT, fault -> false);
        boolean inTime = mClock.nanoTime() - sentAt < MAX_SEND_DELAY_NANOS;
        for (PendingOrder order : batch) {
            (stored && inTime && fence == mFence ? order.send() : order.refuse()).run();
        }
        if (conflict && fence == mFence) {
            mOnLost.accept("this entry no longer holds the planner's key");
        } else if (!stored) {
            String why = result.fold(commit -> commit.outcome().name(), fault -> fault.detail());
            mLog.write(LogLine.of("order.unnoted").with("orders", batch.size()).with("why", why));
        }
        if (!mPending.isEmpty()) {
            commitPending();
        }
    }
}
