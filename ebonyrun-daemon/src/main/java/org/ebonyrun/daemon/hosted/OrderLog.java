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
 * Keeps in the shared store how long ago the planner ordered which endpoint, so that its successor
 * need not wait for all of them.
 *
 * <p>Answers the load of trainers that name versions while the planner's VM stops or loses the
 * store: endpoints that were not ordered lately are ordered by the next holder at once.
 *
 * <p>Invariants: an order is given only after the store has noted it, under the condition that the
 * planner's key is still this holder's, so a holder that lost its key gives none; an age that is
 * read is never above the true one. Ages are times between two moments of one steady clock.
 *
 * <p>Not thread safe; confined to the duty behind {@code executor}.
 */
final class OrderLog {
    // How long after it was noted an order may be given. One whose note takes longer to store is
    // refused; a reader of the note takes it for younger by as much.
    private static final long NOTE_NANOS = Nanos.ofMillis(1_000);
    private static final String FENCE = "fence";
    private static final String OWN = "own_ms";
    private static final String EARLIER = "earlier_ms";
    private static final Optional<OrderAges> NONE = Optional.empty();

    /** An order that waits to be noted. */
    private record Waiting(Runnable give, Runnable refuse) {}

    private final SharedStore mStore;
    private final Executor mExecutor;
    private final MonotonicClock mClock;
    private final EventLog mLog;
    private final LongFunction<Optional<OrderAges>> mAges;
    private final Consumer<String> mOnLost;
    private List<Waiting> mWaiting = new ArrayList<>();
    private boolean mCalling;
    private long mFence;

    /**
     * Creates a log.
     *
     * @param ages gives the ages of orders at a time; empty if they are not known
     * @param onLost hears that the planner's key is no longer this holder's
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
     * Reads what the holder before has noted.
     *
     * @param predecessor the fence of the holder before; zero if it is not known
     * @param use gets the ages of its orders; empty if they are not known
     */
    void read(long predecessor, Consumer<Optional<OrderAges>> use) {
        mStore.get(StoreKeys.ORDERS)
                .thenAcceptAsync(
                        result -> use.accept(result.fold(i -> ages(i, predecessor), f -> NONE)),
                        mExecutor);
    }

    private Optional<OrderAges> ages(Optional<StoreItem> item, long predecessor) {
        if (item.isEmpty()) {
            return NONE;
        }
        try {
            JsonNode note = JsonTrees.read(item.get().value());
            long fence = note.path(FENCE).asLong();
            if (predecessor != 0 && fence != predecessor) {
                return NONE;
            }
            return Optional.of(new OrderAges(ages(note.path(OWN)), ages(note.path(EARLIER))));
        } catch (IllegalArgumentException e) {
            mLog.write(
                    LogLine.of("store.unreadable")
                            .with("key", StoreKeys.ORDERS)
                            .with("why", e.getMessage()));
            return NONE;
        }
    }

    private static Map<String, Long> ages(JsonNode millis) {
        Map<String, Long> ages = new HashMap<>();
        millis.properties()
                .forEach(
                        age -> {
                            long noted = Nanos.ofMillis(age.getValue().asLong());
                            ages.put(age.getKey(), noted - NOTE_NANOS);
                        });
        return ages;
    }

    /** Begins to note orders under a fence. */
    void start(long fence) {
        mFence = fence;
    }

    /** Notes an order that counts from now on, then gives it; or refuses it. */
    void recordThenSend(Runnable give, Runnable refuse) {
        mWaiting.add(new Waiting(give, refuse));
        if (!mCalling) {
            store();
        }
    }

    /** Adds what is known of orders to a transaction that gives the planner's key up. */
    void addOrderAges(Transaction.Builder release) {
        mAges.apply(mClock.nanoTime())
                .ifPresent(ages -> release.write(StoreKeys.ORDERS, encode(ages)));
    }

    private void store() {
        long now = mClock.nanoTime();
        Optional<OrderAges> ages = mAges.apply(now);
        List<Waiting> noted = mWaiting;
        mWaiting = new ArrayList<>();
        if (ages.isEmpty()) {
            noted.forEach(order -> order.refuse().run());
            return;
        }
        mCalling = true;
        long fence = mFence;
        mStore.commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, fence)
                                .write(StoreKeys.ORDERS, encode(ages.get()))
                                .build())
                .thenAcceptAsync(result -> onStored(noted, fence, now, result), mExecutor);
    }

    private byte[] encode(OrderAges ages) {
        ObjectNode note = JsonTrees.object();
        note.put(FENCE, mFence);
        put(note.putObject(OWN), ages.own());
        put(note.putObject(EARLIER), ages.earlier());
        return JsonTrees.write(note);
    }

    private static void put(ObjectNode millis, Map<String, Long> ages) {
        ages.forEach((endpoint, age) -> millis.put(endpoint, Nanos.toMillis(age)));
    }

    private void onStored(
            List<Waiting> noted, long fence, long sentAt, Result<CommitResult> result) {
        mCalling = false;
        boolean stored = result.fold(CommitResult::isCommitted, fault -> false);
        boolean lost =
                result.fold(commit -> commit.outcome() == CommitOutcome.CONFLICT, fault -> false);
        boolean timely = mClock.nanoTime() - sentAt < NOTE_NANOS;
        for (Waiting order : noted) {
            (stored && timely && fence == mFence ? order.give() : order.refuse()).run();
        }
        if (lost && fence == mFence) {
            mOnLost.accept("the planner's key is not this holder's");
        } else if (!stored) {
            String why = result.fold(commit -> commit.outcome().name(), fault -> fault.detail());
            mLog.write(LogLine.of("order.unnoted").with("orders", noted.size()).with("why", why));
        }
        if (!mWaiting.isEmpty()) {
            store();
        }
    }
}
