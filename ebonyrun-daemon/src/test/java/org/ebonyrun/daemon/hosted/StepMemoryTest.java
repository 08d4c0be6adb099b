package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Map;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.junit.jupiter.api.Test;

/** Guards against a process that keeps the owner key of a step which it can't run. */
class StepMemoryTest {
    private static final StepId STEP = StepId.of("step");
    private static final StepId OLD = StepId.of("old");
    private static final int SAMPLES = 100;
    // Holds the text of the step, but not its samples.
    private static final int SMALL_LIMIT = 100_000;

    private final InMemoryStore mStore = new InMemoryStore();
    private final MemoryAccount mSmall = MemoryAccount.withLimit(SMALL_LIMIT);
    private final StepProcess mTrainerSide =
            new StepProcess("edge-1", mStore, MemoryAccount.unlimited());
    private final StepProcess mFull = new StepProcess("edge-2", mStore, mSmall);
    private final StepProcess mRoomy = new StepProcess("edge-3", mStore, MemoryAccount.unlimited());

    /** Leaves a step without an owner in the store. */
    private void submit() {
        byte[] submission = StepProcess.submission(SAMPLES, 8);
        assertThat(mTrainerSide.acceptAndHandOver(STEP, submission), is(true));
    }

    private static void passSeconds(StepProcess process, int seconds) {
        for (int i = 0; i < seconds; i++) {
            process.readSnapshot();
            process.passSecond();
        }
    }

    // Review case 11.
    @Test
    void aStepThatDoesNotFitIsLeftToAnotherProcess() {
        submit();
        passSeconds(mFull, 2);
        assertThat(mSmall.refused(MemoryClass.STEP), is(1L));
        passSeconds(mRoomy, 2);

        assertThat(mRoomy.ownership().owns(STEP), is(true));
        assertThat(mFull.ownership().needsLease(), is(false));
        assertThat(mSmall.held(), is(0L));
    }

    @Test
    void aStepThatDoesNotFitIsTriedAgainAfterTwoSeconds() {
        submit();
        passSeconds(mFull, 2);
        passSeconds(mFull, 1);
        assertThat(mSmall.refused(MemoryClass.STEP), is(1L));
        passSeconds(mFull, 2);

        assertThat(mSmall.refused(MemoryClass.STEP), is(2L));
    }

    @Test
    void aMalformedStepIsLeftToAnotherProcess() {
        submit();
        mStore.put(StoreKeys.chunkKey(STEP, 0), new byte[] {'{'});
        passSeconds(mFull, 2);

        assertThat(mStore.items(StoreKeys.liveKey(STEP, StoreKeys.OWNER)), is(List.of()));
    }

    @Test
    void aStepThatIsLoadedWhenTheProcessStopsIsLeftToAnotherProcess() {
        submit();
        mStore.setUnreadable(true);
        passSeconds(mRoomy, 2);
        assertThat(mStore.items(StoreKeys.liveKey(STEP, StoreKeys.OWNER)).size(), is(1));
        mRoomy.ownership().onDrain();
        mStore.setUnreadable(false);
        passSeconds(mRoomy, 1);

        assertThat(mStore.items(StoreKeys.liveKey(STEP, StoreKeys.OWNER)), is(List.of()));
    }

    @Test
    void cachedSubmissionsGiveWayToAStepThatIsLoaded() {
        MemoryAccount account = MemoryAccount.withLimit(1_000_000);
        SubmissionCache cache = new SubmissionCache(account);
        MemoryClaim cached = account.open(MemoryClass.STEP);
        cached.grow(50_000);
        cache.add(newLoadedStep(cached));
        long needed = account.available(500_000) + 1;
        assertThat(needed, greaterThan(0L));
        cache.makeRoom(needed - 1);
        assertThat(cache.get(OLD), is(notNullValue()));
        cache.makeRoom(needed);

        assertThat(cache.get(OLD), is(nullValue()));
        assertThat(account.held(), is(0L));
    }

    @Test
    void aStepThatFitsOnlyWithoutCachedSubmissionsIsRun() {
        submit();
        MemoryAccount measured = MemoryAccount.withLimit(10_000_000);
        StepProcess first = new StepProcess("edge-4", mStore, measured);
        passSeconds(first, 2);
        long text = StepProcess.submission(SAMPLES, 8).length;
        long needed = measured.held() + text;
        mStore.endLeases();
        // Large claims may take seven eighths.
        MemoryAccount account = MemoryAccount.withLimit(needed * 8 / 7 + 1_000);
        StepProcess second = new StepProcess("edge-5", mStore, account);
        MemoryClaim cached = account.open(MemoryClass.STEP);
        cached.grow(account.limit() / 16);
        second.ownership().submissions().add(newLoadedStep(cached));
        passSeconds(second, 2);

        assertThat(second.ownership().owns(STEP), is(true));
    }

    private static LoadedStep newLoadedStep(MemoryClaim memory) {
        SampleSpec sample = new SampleSpec("s", "/s", Map.of(), new byte[0], 0, "s", null);
        StepSpec spec = new StepSpec(OLD, "x", "/", 1, "", 0, 1, List.of(sample));
        return new LoadedStep(spec, List.of(), List.of(), memory);
    }
}
