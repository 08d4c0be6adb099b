package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.scaling.ServiceLoad;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;

class LoadReporterTest {
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final long TICK_MILLIS = 100;

    /** A store that records all transactions. */
    private static final class FakeStore extends StubStore {
        final List<Transaction> mTransactions = new ArrayList<>();
        boolean mAvailable = true;
        boolean mAnswering = true;

        @Override
        public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
            mTransactions.add(transaction);
            if (!mAnswering) {
                return new CompletableFuture<>();
            }
            return CompletableFuture.completedFuture(
                    mAvailable
                            ? Result.ok(new CommitResult(CommitOutcome.COMMITTED, 1, List.of()))
                            : Result.err(
                                    Fault.unknown(
                                            FaultCode.PLATFORM_UNAVAILABLE, "commit", "", "away")));
        }

        ServiceLoad written(int index) {
            byte[] value = mTransactions.get(index).writes().get(0).value();
            return LoadCodec.decode(value).get(SERVICE);
        }
    }

    private final FakeStore mStore = new FakeStore();
    private int mOpenCalls;
    private long mMillis = 1_000;
    private final LoadReporter mReporter =
            new LoadReporter(
                    new StubContext(), mStore, Fleet.create(), service -> mOpenCalls, "vm1");

    private void run(long millis) {
        for (long end = mMillis + millis; mMillis < end; ) {
            mMillis += TICK_MILLIS;
            mReporter.onTick(Nanos.ofMillis(mMillis));
        }
    }

    private void start() {
        mReporter.setServices(Set.of(SERVICE), Nanos.ofMillis(mMillis));
    }

    @Test
    void nothingIsWrittenWithoutScaledServices() {
        mOpenCalls = 5;
        run(60_000);

        assertThat(mStore.mTransactions, is(empty()));
    }

    @Test
    void anEntryWithoutLoadRemovesOnceWhatAnEarlierProcessLeft() {
        start();
        run(60_000);

        assertThat(mStore.mTransactions, hasSize(1));
        assertThat(mStore.mTransactions.get(0).removals(), contains("ebonyrun/scaling/load/vm1"));
    }

    @Test
    void aLoadIsWrittenWhenItChangesAndElseRarely() {
        mOpenCalls = 10;
        start();
        run(30_000);
        assertThat(mStore.mTransactions.size(), is(5));
        assertThat(mStore.written(1).calls(), is(closeTo(10, 0.5)));

        mOpenCalls = 30;
        run(3_100);
        int count = mStore.mTransactions.size();
        assertThat(mStore.written(count - 1).calls() > 20, is(true));
    }

    @Test
    void anEntryWhoseLoadEndsRemovesItsRecord() {
        mOpenCalls = 10;
        start();
        run(6_000);
        mOpenCalls = 0;
        run(6_000);

        Transaction last = mStore.mTransactions.get(mStore.mTransactions.size() - 1);
        assertThat(last.removals(), hasSize(1));
        int count = mStore.mTransactions.size();
        run(60_000);
        assertThat(mStore.mTransactions, hasSize(count));
    }

    @Test
    void aWriteThatFailedIsRepeatedAndOneThatIsOpenIsWaitedFor() {
        mStore.mAvailable = false;
        mOpenCalls = 10;
        start();
        run(12_100);
        assertThat(mStore.mTransactions, hasSize(4));

        mStore.mAnswering = false;
        run(30_000);
        assertThat(mStore.mTransactions, hasSize(5));
    }

    @Test
    void aDrainedEntryRemovesItsRecord() {
        mOpenCalls = 10;
        start();
        run(6_000);
        mReporter.onDrained(Nanos.ofMillis(mMillis));
        run(30_000);

        Transaction last = mStore.mTransactions.get(mStore.mTransactions.size() - 1);
        assertThat(last.removals(), hasSize(1));
    }

    @Test
    void aServiceThatIsNoLongerScaledHasNoRecord() {
        mOpenCalls = 10;
        start();
        run(6_000);
        mReporter.setServices(Set.of(), Nanos.ofMillis(mMillis));
        run(6_000);

        Transaction last = mStore.mTransactions.get(mStore.mTransactions.size() - 1);
        assertThat(last.removals(), hasSize(1));
    }
}
