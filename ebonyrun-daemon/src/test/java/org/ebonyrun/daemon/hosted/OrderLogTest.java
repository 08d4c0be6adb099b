package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.swap.OrderAges;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;

class OrderLogTest {
    private static final long FENCE = 7;
    private static final OrderAges AGES =
            new OrderAges(Map.of("e1", Nanos.ofMillis(5)), Map.of("e2", Nanos.ofMillis(1_900)));
    // An order may be sent up to a second after its age was computed, so 1,000 ms are subtracted
    // from each recorded age.
    private static final OrderAges AGES_READ =
            new OrderAges(Map.of("e1", Nanos.ofMillis(-995)), Map.of("e2", Nanos.ofMillis(900)));

    /** A store that records all transactions, and completes commits when the test does so. */
    private static final class FakeStore extends StubStore {
        final List<CompletableFuture<Result<CommitResult>>> mCommits = new ArrayList<>();
        final List<Transaction> mTransactions = new ArrayList<>();

        @Override
        public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
            mTransactions.add(transaction);
            mCommits.add(new CompletableFuture<>());
            return mCommits.get(mCommits.size() - 1);
        }

        @Override
        public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
            Optional<StoreItem> item =
                    mTransactions.stream()
                            .reduce((first, second) -> second)
                            .map(last -> new StoreItem(key, last.writes().get(0).value(), 1, 0));
            return CompletableFuture.completedFuture(Result.ok(item));
        }
    }

    private final FakeStore mStore = new FakeStore();
    private final List<String> mEvents = new ArrayList<>();
    private long mNow;
    private final OrderLog mOrderLog =
            new OrderLog(
                    mStore,
                    Runnable::run,
                    () -> mNow,
                    EventLog.start(OutputStream.nullOutputStream()),
                    now -> Optional.of(AGES),
                    why -> mEvents.add("lost"));

    private void recordThenSend(String order) {
        mOrderLog.recordThenSend(
                () -> mEvents.add("send " + order), () -> mEvents.add("refuse " + order));
    }

    private void completeCommit(int call, CommitOutcome outcome) {
        mStore.mCommits.get(call).complete(Result.ok(new CommitResult(outcome, 9, List.of())));
    }

    @Test
    void orderIsSentAfterItWasRecordedUnderTheHoldersKey() {
        mOrderLog.start(FENCE);
        recordThenSend("a");
        assertThat(mEvents, is(empty()));
        Transaction.Expectation expected = mStore.mTransactions.get(0).expectations().get(0);
        assertThat(expected, is(new Transaction.Expectation(StoreKeys.PLANNER, FENCE)));

        completeCommit(0, CommitOutcome.COMMITTED);
        assertThat(mEvents, contains("send a"));
    }

    @Test
    void ordersDuringAnOpenCommitShareTheNextOne() {
        mOrderLog.start(FENCE);
        recordThenSend("a");
        recordThenSend("b");
        recordThenSend("c");
        completeCommit(0, CommitOutcome.COMMITTED);
        completeCommit(1, CommitOutcome.COMMITTED);

        assertThat(mStore.mTransactions.size(), is(2));
        assertThat(mEvents, contains("send a", "send b", "send c"));
    }

    @Test
    void holderThatLostItsKeySendsNoOrder() {
        mOrderLog.start(FENCE);
        recordThenSend("a");
        completeCommit(0, CommitOutcome.CONFLICT);

        assertThat(mEvents, contains("refuse a", "lost"));
    }

    @Test
    void orderIsRefusedIfItsRecordFailedOrWasLate() {
        mOrderLog.start(FENCE);
        recordThenSend("a");
        Fault fault = Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "test", "", "no answer");
        mStore.mCommits.get(0).complete(Result.err(fault));
        recordThenSend("b");
        mNow += Nanos.ofMillis(1_500);
        completeCommit(1, CommitOutcome.COMMITTED);

        assertThat(mEvents, contains("refuse a", "refuse b"));
    }

    @Test
    void nextHolderReadsTheAgesOfItsPredecessor() {
        mOrderLog.start(FENCE);
        List<Optional<OrderAges>> read = new ArrayList<>();
        mOrderLog.read(0, read::add);
        recordThenSend("a");
        mOrderLog.read(0, read::add);
        mOrderLog.read(FENCE, read::add);
        mOrderLog.read(FENCE + 1, read::add);

        assertThat(
                read,
                contains(
                        Optional.empty(),
                        Optional.of(AGES_READ),
                        Optional.of(AGES_READ),
                        Optional.empty()));
    }
}
