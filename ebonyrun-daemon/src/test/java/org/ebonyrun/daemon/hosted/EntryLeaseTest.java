package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.ports.store.StoreLease;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryLeaseTest {
    // Above the time to live of every lease here.
    private static final long LONG_AGO = Nanos.ofMillis(60_000);

    /** Calls to the store that wait for their answers. */
    private static final class PendingStore extends StubStore {
        final List<CompletableFuture<Result<StoreLease>>> mGrants = new ArrayList<>();
        final List<CompletableFuture<Result<Boolean>>> mRenewals = new ArrayList<>();

        @Override
        public CompletableFuture<Result<StoreLease>> grant(long ttlMillis) {
            mGrants.add(new CompletableFuture<>());
            return mGrants.get(mGrants.size() - 1);
        }

        @Override
        public CompletableFuture<Result<Boolean>> renew(long lease) {
            mRenewals.add(new CompletableFuture<>());
            return mRenewals.get(mRenewals.size() - 1);
        }
    }

    private final PendingStore mStore = new PendingStore();
    private final EventLog mLog = EventLog.start(OutputStream.nullOutputStream());
    private final List<String> mEvents = new ArrayList<>();
    private final EntryLease mLease =
            new EntryLease(mStore, Runnable::run, mLog, () -> mEvents.add("lost"));

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private void acquire(long now) {
        mLease.acquire(id -> mEvents.add("acquired " + id), now);
    }

    private void grant(int index, long id, long ttlMillis) {
        mStore.mGrants.get(index).complete(Result.ok(new StoreLease(id, ttlMillis)));
    }

    @Test
    void aLeaseThatIsReplacedIsReportedAsLostBeforeTheNewOneIsUsed() {
        long start = System.nanoTime() - LONG_AGO;
        acquire(start);
        grant(0, 1, 1_000);
        acquire(start + Nanos.ofMillis(1_500));
        grant(1, 2, 1_000);

        assertThat(mEvents, is(List.of("acquired 1", "lost", "acquired 2")));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallerThatWaitsForARenewalThatComesTooLateGetsANewLease(boolean alive) {
        long start = System.nanoTime() - LONG_AGO;
        acquire(start);
        grant(0, 1, 1_000);
        mLease.onTick(true, start + Nanos.ofMillis(900));
        acquire(start + Nanos.ofMillis(1_500));
        mStore.mRenewals.get(0).complete(Result.ok(alive));

        assertThat(mStore.mGrants.size(), is(2));
        grant(1, 2, 1_000);
        assertThat(mEvents, is(List.of("acquired 1", "lost", "acquired 2")));
    }

    @Test
    void aCallerThatWaitsForARenewalGetsTheRenewedLease() {
        long now = System.nanoTime();
        long start = now - Nanos.ofMillis(1_500);
        acquire(start);
        grant(0, 1, 1_000);
        mLease.onTick(true, now - Nanos.ofMillis(600));
        acquire(now);
        mStore.mRenewals.get(0).complete(Result.ok(true));

        assertThat(mEvents, is(List.of("acquired 1", "acquired 1")));
    }
}
