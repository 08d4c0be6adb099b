package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.junit.jupiter.api.Test;

class StoreWatchTest {
    private static final long WAIT_MILLIS = 2_000;

    /** A store whose watches are answered by the test. */
    private static final class FakeStore extends StubStore {
        final List<Long> mWaits = new ArrayList<>();
        final List<CompletableFuture<Result<StoreChanges>>> mWatches = new ArrayList<>();
        int mRanges;

        @Override
        public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
            mRanges++;
            StorePage page = new StorePage(List.of(), false, 10L * mRanges);
            return CompletableFuture.completedFuture(Result.ok(page));
        }

        @Override
        public CompletableFuture<Result<StoreChanges>> watch(
                String prefix, long afterRevision, long waitMillis) {
            mWaits.add(waitMillis);
            mWatches.add(new CompletableFuture<>());
            return mWatches.get(mWatches.size() - 1);
        }
    }

    private final FakeStore mStore = new FakeStore();
    private final List<String> mSaid = new ArrayList<>();
    private final StoreWatch mWatch =
            new StoreWatch(
                    mStore,
                    "p/",
                    () -> new StoreWatch.Timing(WAIT_MILLIS, 0),
                    Runnable::run,
                    new StoreWatch.Listener() {
                        @Override
                        public void onSnapshot(List<StoreItem> items) {
                            mSaid.add("snapshot");
                        }

                        @Override
                        public void onChange(StoreChange change) {
                            mSaid.add(change.key());
                        }

                        @Override
                        public void onResponse() {
                            // Health of the store is not of interest here.
                        }

                        @Override
                        public void onFault(Fault fault) {
                            mSaid.add("fault");
                        }
                    });

    private void answer(int watch, Result<StoreChanges> result) {
        mStore.mWatches.get(watch).complete(result);
    }

    private static Result<StoreChanges> nothing() {
        return Result.ok(new StoreChanges(List.of(), 11, false));
    }

    private static Result<StoreChanges> closed() {
        return Result.err(Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "watch", "", "closed"));
    }

    private void back() {
        mWatch.onStoreAvailable();
        mWatch.onTick(System.nanoTime() + WAIT_MILLIS * 1_000_000);
    }

    @Test
    void theFirstCallAfterAFaultWaitsAShortTime() {
        mWatch.start();
        answer(0, closed());
        back();
        answer(1, nothing());

        assertThat(mStore.mWaits.size(), is(3));
        assertThat(mStore.mWaits.get(1), lessThan(WAIT_MILLIS));
        assertThat(mStore.mWaits.get(2), is(WAIT_MILLIS));
    }

    @Test
    void aCallThatWaitedWhileTheStoreWasAwayIsAbandoned() {
        mWatch.start();
        back();
        answer(0, closed());

        assertThat(mStore.mWaits.size(), is(2));
        assertThat(mStore.mWaits.get(1), lessThan(WAIT_MILLIS));
        assertThat(mSaid, contains("snapshot"));
    }

    @Test
    void afterAGapAllKeysAreReadAgain() {
        mWatch.start();
        answer(0, Result.ok(StoreChanges.ofCompactedHistory()));

        assertThat(mStore.mRanges, is(2));
        assertThat(mSaid, contains("snapshot", "snapshot"));
    }
}
