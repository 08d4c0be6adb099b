package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Draws orders of events at three processes that share a store: cuts, freezes, kills, lost
 * responses, ends of leases, late watches, completed runs and reads. Guards against reads that deny
 * what was read, samples that are listed twice, runs that go on after their step has ended, and
 * steps that nobody finishes.
 */
class StepOwnershipOrdersTest {
    private static final int PROCESSES = 3;
    private static final int STEPS = 2;
    private static final int SAMPLES = 5;
    private static final int EVENTS = 120;
    private static final int EVENTS_WITH_FREEZES = 200;
    private static final int MAX_ROUNDS = 80;
    private static final byte[] OTHER = StepProcess.submission(1, 8);

    private final InMemoryStore mStore = new InMemoryStore();
    private final List<LossyStore> mLinks = new ArrayList<>();
    private final List<StepProcess> mProcesses = new ArrayList<>();
    private final int[] mMaxRead = new int[STEPS];
    private final boolean[] mEnded = new boolean[STEPS];
    // A process that is frozen, and for how many events more.
    private int mFrozen;
    private int mFrozenEvents;
    private int mStarts;
    private boolean mFreezes;
    private String mOrder = "";

    private static Stream<Long> seeds() {
        return LongStream.range(0, Long.getLong("ebonyrun.ownership.seeds", 300)).boxed();
    }

    private static StepId step(int number) {
        return StepId.of("step-" + number);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void anyOrderOfEventsKeepsWhatWasReadAndFinishesEachStepOnce(long seed) {
        play(seed);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void anyOrderWithFreezesAndKillsDoesSoToo(long seed) {
        mFreezes = true;
        play(seed);
    }

    private void play(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < PROCESSES; i++) {
            mLinks.add(new LossyStore(mStore, random));
            mProcesses.add(new StepProcess("edge-" + i, mLinks.get(i), MemoryAccount.unlimited()));
        }
        mOrder = "seed " + seed;
        for (int i = 0; i < STEPS; i++) {
            // A lease without time to live has ended by the clock of its process.
            mStore.setTtl(random.nextBoolean() ? 0 : 60_000);
            byte[] submission = StepProcess.submission(SAMPLES, 8);
            assertThat(
                    mProcesses.get(random.nextInt(PROCESSES)).accept(step(i), submission),
                    is(true));
        }
        mLinks.forEach(link -> link.setCallsPerLoss(12));
        for (int i = 0; i < (mFreezes ? EVENTS_WITH_FREEZES : EVENTS); i++) {
            playEvent(random);
        }
        mLinks.forEach(link -> link.setCut(false));
        mLinks.forEach(link -> link.setCallsPerLoss(0));
        mStore.setTtl(60_000);
        mStore.endLapsedLeases();
        if (mFreezes) {
            endLeasesOf(mFrozenEvents > 0 ? mFrozen : PROCESSES);
        }
        finish();
        for (int i = 0; i < STEPS; i++) {
            assertListedOnce(i);
        }
    }

    /**
     * Draws a process. Now and then one is frozen for some events, in which its lease ends, and
     * others may be killed before it goes on and reads what it has missed.
     */
    private int drawProcess(Random random) {
        if (mFreezes && mFrozenEvents == 0 && random.nextInt(30) == 0) {
            mFrozen = random.nextInt(PROCESSES);
            mFrozenEvents = 10 + random.nextInt(50);
            mOrder += " freeze@" + mFrozen;
            endLeasesOf(mFrozen);
        }
        int number = random.nextInt(PROCESSES);
        if (mFrozenEvents == 0) {
            return number;
        }
        mFrozenEvents--;
        if (mFrozenEvents == 0) {
            mOrder += " thaw@" + mFrozen;
            for (int i = 0; i < PROCESSES; i++) {
                if (i != mFrozen && random.nextBoolean()) {
                    kill(i, random);
                }
            }
            mLinks.get(mFrozen).setCut(false);
            mLinks.get(mFrozen).setCallsPerLoss(0);
            boolean leaseFirst = random.nextBoolean();
            if (leaseFirst) {
                mProcesses.get(mFrozen).thaw();
            }
            readSnapshot(mFrozen);
            if (!leaseFirst) {
                mProcesses.get(mFrozen).thaw();
            }
            mLinks.get(mFrozen).setCallsPerLoss(12);
        }
        return number == mFrozen ? (number + 1) % PROCESSES : number;
    }

    /** Ends the lease of a process, and those that others have replaced. */
    private void endLeasesOf(int ended) {
        Set<Long> leases = new HashSet<>();
        for (int i = 0; i < PROCESSES; i++) {
            if (i != ended) {
                leases.add(mProcesses.get(i).lease().id());
            }
        }
        mStore.retainLeases(leases);
    }

    /** Ends a process and its lease, and starts another one in its place. */
    private void kill(int number, Random random) {
        mOrder += " kill@" + number;
        endLeasesOf(number);
        mLinks.set(number, new LossyStore(mStore, random));
        mLinks.get(number).setCallsPerLoss(12);
        String vm = "edge-" + number + "-" + ++mStarts;
        mProcesses.set(number, new StepProcess(vm, mLinks.get(number), MemoryAccount.unlimited()));
    }

    private void playEvent(Random random) {
        int number = drawProcess(random);
        StepProcess process = mProcesses.get(number);
        int step = random.nextInt(STEPS);
        int event = random.nextInt(mFreezes ? 13 : 12);
        mOrder += " " + event + "@" + number;
        switch (event) {
            case 0 -> mLinks.get(number).setCut(!mLinks.get(number).isCut());
            case 1 -> mStore.endLapsedLeases();
            case 2 -> mStore.setTtl(random.nextBoolean() ? 0 : 60_000);
            case 3, 4 -> process.passSecond();
            case 5, 6 -> readSnapshot(number);
            case 7, 12 -> process.completeRuns(1 + random.nextInt(mFreezes ? SAMPLES : 2));
            case 8, 9 -> read(process, step);
            case 10 -> process.accept(StepId.of("other-" + mOrder.length()), OTHER);
            default -> {
                if (random.nextInt(12) == 0 && !mEnded[step]) {
                    new StepStore(mStore).markEnded(step(step)).join();
                    mEnded[step] = true;
                }
            }
        }
    }

    /** Checks that a process which sees that a step is done or ended does not go on with it. */
    private void readSnapshot(int number) {
        StepProcess process = mProcesses.get(number);
        boolean read = process.readSnapshot();
        for (int i = 0; i < STEPS && read; i++) {
            StepStatus status = process.directory().get(step(i));
            if (status != null && (status.mDone || status.mEnded)) {
                assertThat(mOrder, process.runCount(step(i)), is(0L));
            }
        }
    }

    /** Checks that a read at the last position that was read returns it again, unless it faults. */
    private void read(StepProcess process, int step) {
        int from = Math.max(0, mMaxRead[step] - 1);
        int found = process.read(step(step), from, SAMPLES);
        if (found != StepProcess.NO_RESPONSE) {
            assertThat(mOrder, from + found, greaterThanOrEqualTo(mMaxRead[step]));
            mMaxRead[step] = from + found;
        }
    }

    /** Lets all processes work without faults until each step is finished. */
    private void finish() {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            for (StepProcess process : mProcesses) {
                process.readSnapshot();
                process.passSecond();
                process.readSnapshot();
                process.completeRuns(SAMPLES * STEPS);
            }
        }
        mProcesses.forEach(StepProcess::readSnapshot);
        for (StepProcess process : mProcesses) {
            assertThat(mOrder, process.runCount(), is(0));
            assertThat(mOrder, process.ownership().size(), is(0));
        }
    }

    private void assertListedOnce(int step) {
        List<SampleResult> listed = new ArrayList<>();
        mStore.items(StoreKeys.resultsPrefix(step(step)))
                .forEach(item -> listed.addAll(StepCodec.results(item.value())));
        Set<String> ids = new HashSet<>();
        List<String> twice = new ArrayList<>();
        listed.stream().map(SampleResult::id).filter(id -> !ids.add(id)).forEach(twice::add);
        assertThat(mOrder, twice, is(empty()));
        if (!mEnded[step]) {
            assertThat(mOrder, listed.size(), is(SAMPLES));
        }
        for (StepProcess process : mProcesses) {
            read(process, step);
            assertThat(mOrder, process.read(step(step), 0, SAMPLES), is(listed.size()));
        }
    }
}
