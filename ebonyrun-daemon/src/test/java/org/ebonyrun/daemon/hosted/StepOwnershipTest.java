package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.core.step.StepId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a process that goes on as the owner of a step which another process has taken over
 * while this one could not reach the store.
 */
class StepOwnershipTest {
    private static final StepId STEP = StepId.of("step");
    private static final int SAMPLES = 4;

    private final InMemoryStore mStore = new InMemoryStore();
    private final StepProcess mFirst = new StepProcess("edge-1", mStore, MemoryAccount.unlimited());
    private final StepProcess mSecond =
            new StepProcess("edge-2", mStore, MemoryAccount.unlimited());

    /** Lets the first process own a step, and the second one claim it when its lease has ended. */
    private void takeOver() {
        assertThat(mFirst.accept(STEP, StepProcess.submission(SAMPLES, 8)), is(true));
        assertThat(mFirst.runCount(), is(SAMPLES));
        mStore.endLeases();
        mSecond.readSnapshot();
        mSecond.passSecond();
        mSecond.passSecond();
        assertThat(mSecond.ownership().owns(STEP), is(true));
    }

    // Review case 12.
    @Test
    void samplesOfAStepThatAnotherProcessHasFinishedStopWithTheNextSnapshot() {
        takeOver();
        mSecond.completeRuns(SAMPLES);
        mStore.endLeases();
        mFirst.readSnapshot();

        assertThat(mFirst.ownership().owns(STEP), is(false));
        assertThat(mFirst.runCount(), is(0));
    }

    @Test
    void anOutdatedOwnerDoesNotGoOnAfterTheOwnerThatHasListedResultsIsGone() {
        takeOver();
        mSecond.completeRuns(1);
        mStore.endLeases();
        mFirst.readSnapshot();
        mFirst.passSecond();
        mFirst.passSecond();
        mFirst.readSnapshot();
        mFirst.passSecond();

        assertThat(mFirst.ownership().owns(STEP), is(true));
        assertThat(mFirst.ownership().listedResults(STEP).size(), is(1));
        assertThat(mFirst.runCount(), is(SAMPLES - 1));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, SAMPLES})
    void aStepThatIsTakenOverWhileItIsLoadedIsNotRun(int completed) {
        assertThat(mFirst.accept(STEP, StepProcess.submission(SAMPLES, 8)), is(true));
        mStore.endLeases();
        mSecond.readSnapshot();
        mStore.setUnreadable(true);
        mSecond.passSecond();
        mSecond.passSecond();
        mStore.endLeases();
        mFirst.readSnapshot();
        mFirst.passSecond();
        mFirst.completeRuns(completed);
        mSecond.readSnapshot();
        mStore.setUnreadable(false);
        mSecond.passSecond();

        assertThat(mSecond.ownership().owns(STEP), is(false));
        assertThat(mSecond.runCount(), is(0));
    }

    // Review case 13.
    @Test
    void anOwnerWithALaterLeaseReadsResultsThatAnotherProcessHasListed() {
        mStore.setTtl(0);
        assertThat(mFirst.accept(STEP, StepProcess.submission(SAMPLES, 8)), is(true));
        mStore.endLeases();
        mStore.setTtl(60_000);
        mSecond.readSnapshot();
        mSecond.passSecond();
        mSecond.passSecond();
        mSecond.completeRuns(SAMPLES);
        assertThat(mFirst.accept(StepId.of("later"), StepProcess.submission(1, 8)), is(true));

        assertThat(mFirst.ownership().owns(STEP), is(true));
        assertThat(mFirst.read(STEP, 0, SAMPLES), is(SAMPLES));
    }
}
