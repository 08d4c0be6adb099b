package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreChanges;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates reads of a step at three processes while its ownership moves between them and the owner
 * lists results. The store responds late, in parts or with faults, and loses its history. The order
 * of all events is drawn from a seed.
 *
 * <p>Guards against a reader that returns no results at a position where another reader has already
 * returned some, for instance because it mistook a part of the changes for all of them.
 */
class ResultReaderTest {
    private static final StepId STEP = StepId.of("step");
    private static final int SAMPLES = 40;
    private static final int READERS = 3;
    private static final int NO_OWNER = -1;
    private static final int ACTIONS = 600;
    private static final int RUNS = 100;

    /** A store whose calls take effect and complete only when the test runs their pending tasks. */
    private final class FakeStore extends StubStore {
        private final List<StoreItem> mItems = new ArrayList<>();
        private long mRevision = 1;
        private long mHistoryStart = 1;

        void append(int position, List<SampleResult> results) {
            byte[] value = StepCodec.results(results);
            mItems.add(new StoreItem(StoreKeys.resultKey(STEP, position), value, ++mRevision, 0));
        }

        void dropHistory() {
            mHistoryStart = ++mRevision;
        }

        List<SampleResult> results() {
            List<SampleResult> results = new ArrayList<>();
            mItems.forEach(item -> results.addAll(StepCodec.results(item.value())));
            return results;
        }

        @Override
        public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
            CompletableFuture<Result<StorePage>> response = new CompletableFuture<>();
            mPending.add(
                    () -> {
                        List<StoreItem> items = new ArrayList<>(mItems);
                        items.removeIf(item -> item.key().compareTo(after) <= 0);
                        int maxSize = 1 + mRandom.nextInt(4);
                        boolean truncated = items.size() > maxSize;
                        List<StoreItem> page = items.subList(0, Math.min(maxSize, items.size()));
                        Result<StorePage> result =
                                nextCallFails()
                                        ? Result.err(fault())
                                        : Result.ok(
                                                new StorePage(
                                                        List.copyOf(page), truncated, mRevision));
                        mPending.add(() -> response.complete(result));
                    });
            return response;
        }

        @Override
        public CompletableFuture<Result<StoreChanges>> watch(
                String prefix, long afterRevision, long waitMillis, boolean mayBeStale) {
            CompletableFuture<Result<StoreChanges>> response = new CompletableFuture<>();
            mPending.add(
                    () -> {
                        Result<StoreChanges> result =
                                nextCallFails()
                                        ? Result.err(fault())
                                        : Result.ok(changes(afterRevision));
                        mPending.add(() -> response.complete(result));
                    });
            return response;
        }

        private StoreChanges changes(long after) {
            if (after < mHistoryStart) {
                return StoreChanges.ofCompactedHistory();
            }
            List<StoreChange> found = new ArrayList<>();
            for (StoreItem item : mItems) {
                if (item.revision() > after) {
                    found.add(new StoreChange(item.key(), item.revision(), item));
                }
            }
            int maxSize = 1 + mRandom.nextInt(3);
            boolean partial = found.size() > maxSize;
            List<StoreChange> returned = partial ? found.subList(0, maxSize) : found;
            return new StoreChanges(
                    returned, partial ? returned.get(maxSize - 1).revision() : mRevision, false);
        }
    }

    private final EventLog mLog = EventLog.start(OutputStream.nullOutputStream());
    private MemoryAccount mMemory = MemoryAccount.unlimited();
    private final List<Runnable> mPending = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final ResultReader[] mReaders = new ResultReader[READERS];
    private Random mRandom = new Random(0);
    private FakeStore mStore = new FakeStore();
    private List<SampleResult> mListed = new ArrayList<>();
    private int mOwner;
    // Counts the changes of ownership, so that writes of earlier owners are refused.
    private int mTerm;
    private boolean mStoring;
    private long mNow;
    // The number of results that any reader has returned so far.
    private int mMaxReturned;
    private int mOpenReads;
    // One of this many store calls fails; zero for none.
    private int mCallsPerFault;

    private boolean nextCallFails() {
        return mCallsPerFault > 0 && mRandom.nextInt(mCallsPerFault) == 0;
    }

    private static Fault fault() {
        return Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "test", "", "no answer");
    }

    private ResultReader reader(int index) {
        ResultReader.Ownership ownership =
                new ResultReader.Ownership() {
                    @Override
                    public boolean owns(StepId step) {
                        return mOwner == index;
                    }

                    @Override
                    public boolean isAuthoritative(StepId step) {
                        return mOwner == index && !mStoring;
                    }

                    @Override
                    public List<SampleResult> listedResults(StepId step) {
                        return mOwner == index ? List.copyOf(mListed) : List.of();
                    }
                };
        return new ResultReader(mStore, ownership, Runnable::run, () -> mNow, mMemory, mLog);
    }

    private void begin(long seed) {
        mRandom = new Random(seed);
        mStore = new FakeStore();
        mListed = new ArrayList<>();
        mPending.clear();
        mOwner = 0;
        mStoring = false;
        mMaxReturned = 0;
        mOpenReads = 0;
        mCallsPerFault = 12;
        for (int i = 0; i < READERS; i++) {
            mReaders[i] = reader(i);
        }
    }

    /**
     * Reads at one process and checks the results against the store's and against what any process
     * returned before the read began.
     */
    private void read(String run, int index, int from) {
        int returnedBefore = mMaxReturned;
        mOpenReads++;
        ResultReader.Callback callback =
                new ResultReader.Callback() {
                    @Override
                    public void onResults(List<SampleResult> results) {
                        mOpenReads--;
                        List<SampleResult> stored = mStore.results();
                        int begin = Math.min(from, stored.size());
                        int end = begin + results.size();
                        // Collected, since the store's future would swallow a thrown error.
                        if (end > stored.size() || !results.equals(stored.subList(begin, end))) {
                            mViolations.add(
                                    run
                                            + ": results differ from the store's from position "
                                            + from);
                        }
                        if (from < returnedBefore && results.isEmpty()) {
                            mViolations.add(
                                    run + ": an earlier read had a result at position " + from);
                        }
                        mMaxReturned = Math.max(mMaxReturned, results.isEmpty() ? 0 : end);
                    }

                    @Override
                    public void onFault(Fault fault) {
                        mOpenReads--;
                    }
                };
        mReaders[index].read(STEP, SAMPLES, from, mRandom.nextInt(3) * 400L, callback);
    }

    /** The owner stores one to three results; the store accepts them only from the same owner. */
    private void listResults() {
        int position = mListed.size();
        int count = Math.min(1 + mRandom.nextInt(3), SAMPLES - position);
        if (mOwner == NO_OWNER || mStoring || count == 0) {
            return;
        }
        List<SampleResult> results = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "sample-" + (position + i) + "-" + mTerm;
            results.add(new SampleResult(id, true, "text", List.of(1), ""));
        }
        int term = mTerm;
        mStoring = true;
        mPending.add(
                () -> {
                    if (term == mTerm) {
                        mStore.append(position, results);
                        mPending.add(() -> onStored(term, results));
                    }
                });
    }

    private void onStored(int term, List<SampleResult> results) {
        if (term == mTerm && mOwner != NO_OWNER) {
            mStoring = false;
            mListed.addAll(results);
            mReaders[mOwner].onListed(STEP, List.copyOf(mListed));
        }
    }

    /** Makes a random process the owner, with the results that the store has. */
    private void handOver() {
        mTerm++;
        mStoring = false;
        mOwner = mRandom.nextInt(READERS);
        mListed = mStore.results();
    }

    /** Performs one random action. */
    private void act(String run) {
        int action = mRandom.nextInt(100);
        int reader = mRandom.nextInt(READERS);
        mNow += Nanos.ofMillis(mRandom.nextInt(30));
        if (action < 60 && !mPending.isEmpty()) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
        } else if (action < 80) {
            int known = Math.max(0, mMaxReturned - mRandom.nextInt(4));
            read(run, reader, Math.min(SAMPLES, known + mRandom.nextInt(3)));
        } else if (action < 92) {
            listResults();
        } else if (action < 94) {
            handOver();
        } else if (action < 95) {
            mStore.dropHistory();
        } else if (action < 96) {
            // A write in flight may still take effect.
            mOwner = NO_OWNER;
        } else {
            for (ResultReader each : mReaders) {
                each.onTick(mNow);
            }
        }
    }

    /** Runs all pending tasks without faults until every read has ended. */
    private void finish() {
        mCallsPerFault = 0;
        for (int i = 0; i < ACTIONS && mOpenReads > 0; i++) {
            mNow += Nanos.ofMillis(100);
            while (!mPending.isEmpty()) {
                mPending.remove(0).run();
            }
            for (ResultReader each : mReaders) {
                each.onTick(mNow);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0", "4, 0", "5, 0", "6, 60000", "7, 16000", "8, 4000"})
    void readsAreMonotonicAcrossProcesses(long seed, long memoryBytes) {
        mMemory =
                memoryBytes == 0 ? MemoryAccount.unlimited() : MemoryAccount.withLimit(memoryBytes);
        int returnedTotal = 0;
        for (int run = 0; run < RUNS; run++) {
            String description = "seed " + seed + " run " + run;
            begin(seed * RUNS + run);
            for (int i = 0; i < ACTIONS; i++) {
                act(description);
            }
            finish();
            assertThat(description + ": reads that did not end", mOpenReads, is(0));
            returnedTotal += mMaxReturned;
        }
        assertThat(mViolations, is(empty()));
        assertThat(returnedTotal / RUNS, is(greaterThan(SAMPLES / 2)));
    }

    @Test
    void readContinuesIfWatchReturnsOnlyPartOfTheChanges() {
        begin(1);
        mCallsPerFault = 0;
        mOwner = NO_OWNER;
        read("before the first result", 0, 0);
        finish();
        for (int position = 0; position < 20; position++) {
            SampleResult result = new SampleResult("s" + position, true, "t", List.of(1), "");
            mStore.append(position, List.of(result));
        }
        mMaxReturned = 20;

        read("after twenty results", 0, 19);
        finish();

        assertThat(mOpenReads, is(0));
        assertThat(mViolations, is(empty()));
    }
}
