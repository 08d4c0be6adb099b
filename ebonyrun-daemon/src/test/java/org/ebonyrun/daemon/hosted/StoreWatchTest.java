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

    /** A store whose watches are completed by the test. */
    private static final class FakeStore extends StubStore {
        final List<Long> mWaits = new ArrayList<>();
        final List<Boolean> mStale = new ArrayList<>();
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
                String prefix, long afterRevision, long waitMillis, boolean mayBeStale) {
            mWaits.add(waitMillis);
            mStale.add(mayBeStale);
            mWatches.add(new CompletableFuture<>());
            return mWatches.get(mWatches.size() - 1);
        }
    }

    private final FakeStore mStore = new FakeStore();
    private final List<String> mEvents = new ArrayList<>();
    private boolean mMayBeStale;
    private int mResponses;
    private final StoreWatch mWatch =
            new StoreWatch(
                    mStore,
                    "p/",
                    () -> new StoreWatch.Timing(WAIT_MILLIS, 0, mMayBeStale),
                    Runnable::run,
                    new StoreWatch.Listener() {
                        @Override
                        public void onSnapshot(List<StoreItem> items) {
                            mEvents.add("snapshot");
                        }

                        @Override
                        public void onChange(StoreChange change) {
                            mEvents.add(change.key());
                        }

                        @Override
                        public void onResponse() {
                            mResponses++;
                        }

                        @Override
                        public void onFault(Fault fault) {
                            mEvents.add("fault");
                        }
                    });

    private void completeWatch(int watch, Result<StoreChanges> result) {
        mStore.mWatches.get(watch).complete(result);
    }

    private static Result<StoreChanges> noChanges() {
        return Result.ok(new StoreChanges(List.of(), 11, false));
    }

    private static Result<StoreChanges> connectionClosed() {
        return Result.err(Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "watch", "", "closed"));
    }

    private void endOutage() {
        mWatch.onStoreAvailable();
        mWatch.onTick(System.nanoTime() + WAIT_MILLIS * 1_000_000);
    }

    @Test
    void stalePollIsReplacedOnceChangesAreNeededInTime() {
        mMayBeStale = true;
        mWatch.start();
        mWatch.onTick(System.nanoTime());
        assertThat(mStore.mStale, contains(true));

        mMayBeStale = false;
        mWatch.onTick(System.nanoTime());
        mWatch.onTick(System.nanoTime());
        assertThat(mStore.mStale, contains(true, false));
        completeWatch(0, connectionClosed());
        assertThat(mEvents, contains("snapshot"));
    }

    @Test
    void stalePollSaysNothingAboutTheStoresAvailability() {
        mMayBeStale = true;
        mWatch.start();
        int responses = mResponses;
        completeWatch(0, noChanges());
        assertThat(mResponses, is(responses));

        mMayBeStale = false;
        mWatch.onTick(System.nanoTime());
        completeWatch(2, noChanges());
        assertThat(mResponses, is(responses + 1));
    }

    @Test
    void firstPollAfterFaultHasShortWait() {
        mWatch.start();
        completeWatch(0, connectionClosed());
        endOutage();
        completeWatch(1, noChanges());

        assertThat(mStore.mWaits.size(), is(3));
        assertThat(mStore.mWaits.get(1), lessThan(WAIT_MILLIS));
        assertThat(mStore.mWaits.get(2), is(WAIT_MILLIS));
    }

    @Test
    void pollInFlightIsAbandonedAfterOutage() {
        mWatch.start();
        endOutage();
        completeWatch(0, connectionClosed());

        assertThat(mStore.mWaits.size(), is(2));
        assertThat(mStore.mWaits.get(1), lessThan(WAIT_MILLIS));
        assertThat(mEvents, contains("snapshot"));
    }

    @Test
    void snapshotIsReadAgainAfterHistoryIsLost() {
        mWatch.start();
        completeWatch(0, Result.ok(StoreChanges.ofCompactedHistory()));

        assertThat(mStore.mRanges, is(2));
        assertThat(mEvents, contains("snapshot", "snapshot"));
    }
}
