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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays reads of a step at three processes while its owner lists results, hands the step over, ends
 * it and restarts, and the store answers late, in parts, with faults, and forgets its history. The
 * order of all events is drawn from a seed.
 */
class ResultReaderTest {
    private static final StepId STEP = StepId.of("step");
    private static final int SAMPLES = 40;
    private static final int READERS = 3;
    private static final int NOBODY = -1;
    private static final int TURNS = 600;
    private static final int RUNS = 100;

    /** A store whose calls take effect, and are answered, when the test says so. */
    private final class FakeStore extends StubStore {
        private final List<StoreItem> mItems = new ArrayList<>();
        private long mRevision = 1;
        private long mOldest = 1;

        void append(int position, List<SampleResult> results) {
            byte[] value = StepCodec.results(results);
            mItems.add(new StoreItem(StoreKeys.resultKey(STEP, position), value, ++mRevision, 0));
        }

        void forgetHistory() {
            mOldest = ++mRevision;
        }

        List<SampleResult> results() {
            List<SampleResult> results = new ArrayList<>();
            mItems.forEach(item -> results.addAll(StepCodec.results(item.value())));
            return results;
        }

        @Override
        public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
            CompletableFuture<Result<StorePage>> answer = new CompletableFuture<>();
            mPending.add(
                    () -> {
                        List<StoreItem> items = new ArrayList<>(mItems);
                        items.removeIf(item -> item.key().compareTo(after) <= 0);
                        int most = 1 + mRandom.nextInt(4);
                        boolean truncated = items.size() > most;
                        List<StoreItem> page = items.subList(0, Math.min(most, items.size()));
                        Result<StorePage> result =
                                fails()
                                        ? Result.err(fault())
                                        : Result.ok(
                                                new StorePage(
                                                        List.copyOf(page), truncated, mRevision));
                        mPending.add(() -> answer.complete(result));
                    });
            return answer;
        }

        @Override
        public CompletableFuture<Result<StoreChanges>> watch(
                String prefix, long afterRevision, long waitMillis) {
            CompletableFuture<Result<StoreChanges>> answer = new CompletableFuture<>();
            mPending.add(
                    () -> {
                        Result<StoreChanges> result =
                                fails() ? Result.err(fault()) : Result.ok(changes(afterRevision));
                        mPending.add(() -> answer.complete(result));
                    });
            return answer;
        }

        private StoreChanges changes(long after) {
            if (after < mOldest) {
                return StoreChanges.ofCompactedHistory();
            }
            List<StoreChange> found = new ArrayList<>();
            for (StoreItem item : mItems) {
                if (item.revision() > after) {
                    found.add(new StoreChange(item.key(), item.revision(), item));
                }
            }
            int most = 1 + mRandom.nextInt(3);
            boolean part = found.size() > most;
            List<StoreChange> told = part ? found.subList(0, most) : found;
            return new StoreChanges(told, part ? told.get(most - 1).revision() : mRevision, false);
        }
    }

    private final EventLog mLog = EventLog.start(OutputStream.nullOutputStream());
    private final List<Runnable> mPending = new ArrayList<>();
    private final List<String> mWrong = new ArrayList<>();
    private final ResultReader[] mReaders = new ResultReader[READERS];
    private Random mRandom = new Random(0);
    private FakeStore mStore = new FakeStore();
    private List<SampleResult> mListed = new ArrayList<>();
    private int mOwner;
    private int mTerm;
    private boolean mStoring;
    private long mNow;
    private int mShown;
    private int mOpen;
    private int mFaultsIn;

    private boolean fails() {
        return mFaultsIn > 0 && mRandom.nextInt(mFaultsIn) == 0;
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
        return new ResultReader(mStore, ownership, Runnable::run, () -> mNow, mLog);
    }

    private void begin(long seed) {
        mRandom = new Random(seed);
        mStore = new FakeStore();
        mListed = new ArrayList<>();
        mPending.clear();
        mOwner = 0;
        mStoring = false;
        mShown = 0;
        mOpen = 0;
        mFaultsIn = 12;
        for (int i = 0; i < READERS; i++) {
            mReaders[i] = reader(i);
        }
    }

    /** Reads at one process and checks the answer against what any process has shown before. */
    private void read(String why, int index, int from) {
        int shownBefore = mShown;
        mOpen++;
        ResultReader.Callback reply =
                new ResultReader.Callback() {
                    @Override
                    public void onResults(List<SampleResult> results) {
                        mOpen--;
                        List<SampleResult> stored = mStore.results();
                        int begin = Math.min(from, stored.size());
                        int end = begin + results.size();
                        // Collected, since the store's future would keep a thrown error.
                        if (end > stored.size() || !results.equals(stored.subList(begin, end))) {
                            mWrong.add(why + ": other results than the store's from " + from);
                        }
                        if (from < shownBefore && results.isEmpty()) {
                            mWrong.add(why + ": nothing at position " + from);
                        }
                        mShown = Math.max(mShown, results.isEmpty() ? 0 : end);
                    }

                    @Override
                    public void onFault(Fault fault) {
                        mOpen--;
                    }
                };
        mReaders[index].read(STEP, SAMPLES, from, mRandom.nextInt(3) * 400L, reply);
    }

    /** The owner stores one to three results; the store takes them if it still is the owner. */
    private void list() {
        int position = mListed.size();
        int count = Math.min(1 + mRandom.nextInt(3), SAMPLES - position);
        if (mOwner == NOBODY || mStoring || count == 0) {
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
        if (term == mTerm && mOwner != NOBODY) {
            mStoring = false;
            mListed.addAll(results);
            mReaders[mOwner].onListed(STEP, List.copyOf(mListed));
        }
    }

    /** Another process takes the step, with what the store has. */
    private void handOver() {
        mTerm++;
        mStoring = false;
        mOwner = mRandom.nextInt(READERS);
        mListed = mStore.results();
    }

    private void turn(String why) {
        int draw = mRandom.nextInt(100);
        int reader = mRandom.nextInt(READERS);
        mNow += Nanos.ofMillis(mRandom.nextInt(30));
        if (draw < 60 && !mPending.isEmpty()) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
        } else if (draw < 80) {
            int known = Math.max(0, mShown - mRandom.nextInt(4));
            read(why, reader, Math.min(SAMPLES, known + mRandom.nextInt(3)));
        } else if (draw < 92) {
            list();
        } else if (draw < 94) {
            handOver();
        } else if (draw < 95) {
            mStore.forgetHistory();
        } else if (draw < 96) {
            // What was being stored may still take effect.
            mOwner = NOBODY;
        } else {
            for (ResultReader each : mReaders) {
                each.onTick(mNow);
            }
        }
    }

    private void finish() {
        mFaultsIn = 0;
        for (int i = 0; i < TURNS && mOpen > 0; i++) {
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
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatAnyProcessHasShownEveryProcessShows(long seed) {
        int shown = 0;
        for (int run = 0; run < RUNS; run++) {
            String why = "seed " + seed + " run " + run;
            begin(seed * RUNS + run);
            for (int i = 0; i < TURNS; i++) {
                turn(why);
            }
            finish();
            assertThat(why + ": reads without an answer", mOpen, is(0));
            shown += mShown;
        }
        assertThat(mWrong, is(empty()));
        assertThat(shown / RUNS, is(greaterThan(SAMPLES / 2)));
    }

    @Test
    void aReadGoesOnWhenAWatchTellsOnlyAPartOfTheChanges() {
        begin(1);
        mFaultsIn = 0;
        mOwner = NOBODY;
        read("before the first result", 0, 0);
        finish();
        for (int position = 0; position < 20; position++) {
            SampleResult result = new SampleResult("s" + position, true, "t", List.of(1), "");
            mStore.append(position, List.of(result));
        }
        mShown = 20;

        read("after twenty results", 0, 19);
        finish();

        assertThat(mOpen, is(0));
        assertThat(mWrong, is(empty()));
    }
}
