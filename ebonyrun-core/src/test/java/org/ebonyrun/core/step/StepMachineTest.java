package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.stream.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class StepMachineTest {
    private static final StepId STEP = StepId.of("step");
    private static final int EVENTS = 3;
    private static final int MIN_VERSION = 2;
    private static final long MILLI = Nanos.PER_MILLI;

    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);

    private static Route route(boolean singleVersion) {
        return EndpointFixtures.route(
                RouteKind.STEPS,
                new CallOptions(10_000, 500, 3, 0),
                new StepOptions(7_500, 40_000, singleVersion));
    }

    private static SampleSpec sample(String id, String group, long tokens, boolean scored) {
        ScoreCall score = scored ? new ScoreCall("s-" + id, "x", "/s", new byte[0]) : null;
        return new SampleSpec(id, "/g", Map.of(), new byte[0], tokens, group, score);
    }

    private static StepSpec step(int wanted, SampleSpec... samples) {
        return new StepSpec(
                STEP, "x", "/", 3, EndpointFixtures.MODEL, MIN_VERSION, wanted, List.of(samples));
    }

    private void acquireStep(StepSpec spec, boolean singleVersion) {
        mMachine.onStepAcquired(spec, route(singleVersion), List.of(), List.of(), 0, 0);
    }

    private void disable(Mechanism mechanism) {
        mMachine = StepMachine.create(mFleet, Policy.ALL.without(mechanism), mOutputs);
    }

    private void addEndpoint(String id, int version) {
        mFleet.onRecord(EndpointFixtures.record(id, 8, version));
    }

    private void generateEvents(long run, int from, int to, long now) {
        for (int i = from; i <= to; i++) {
            mMachine.onEvent(run, i, "d" + i, 0, now);
        }
    }

    @Test
    void scoresStoresAndListsACompleteSample() {
        addEndpoint("e", 2);
        acquireStep(step(1, sample("a", "g", 1, true)), false);
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, EVENTS, 0);
        mMachine.onRunEnd(1, RunOutcome.COMPLETE, 0);
        long score = mOutputs.mScores.keySet().iterator().next();
        mMachine.onScoreEnd(score, ScoreOutcome.SCORED, "stamp", 0, 4, 0);

        FakeStepOutputs.Store store = mOutputs.mStores.get(0);
        assertThat(store.last(), is(true));
        assertThat(store.position(), is(0));
        SampleResult result = store.results().get(0);
        assertThat(result.text(), is("d1\nd2\nd3"));
        assertThat(result.versions(), contains(2));
        assertThat(result.score(), is("stamp"));
        assertThat(mMachine.listedResults(STEP), is(empty()));
        mMachine.onResultsStored(STEP, 0);
        assertThat(mMachine.stepCount(), is(0));
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "3, 2", "0, 0"})
    void abandonsASampleAfterTheAllowedScoringErrors(int errors, int calls) {
        addEndpoint("e", 2);
        acquireStep(step(1, sample("a", "g", 1, true)), false);
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, EVENTS, 0);
        mMachine.onRunEnd(1, RunOutcome.COMPLETE, 0);
        for (int i = 0; i < 5 && mOutputs.mStores.isEmpty(); i++) {
            long score = mOutputs.mScores.keySet().stream().reduce((x, y) -> y).orElseThrow();
            ScoreOutcome outcome = errors == 0 ? ScoreOutcome.UNKNOWN : ScoreOutcome.FAILED;
            mMachine.onScoreEnd(score, outcome, "", errors, 4, i * 200 * MILLI);
            mMachine.onTick(i * 200 * MILLI + 150 * MILLI);
        }

        assertThat(mOutputs.mStores.size(), is(calls == 0 ? 0 : 1));
        assertThat(mOutputs.mScores.size(), is(calls == 0 ? 6 : calls));
    }

    // The route of a reward call may be missing for a while, or get a lower limit.
    @Test
    void aScoringCallThatDidNotFailAbandonsNoSample() {
        addEndpoint("e", 2);
        acquireStep(step(1, sample("a", "g", 1, true)), false);
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, EVENTS, 0);
        mMachine.onRunEnd(1, RunOutcome.COMPLETE, 0);
        mMachine.onScoreEnd(2, ScoreOutcome.FAILED, "", 2, 3, 0);
        mMachine.onTick(150 * MILLI);
        mMachine.onScoreEnd(3, ScoreOutcome.UNKNOWN, "", 0, 1, 150 * MILLI);
        mMachine.onTick(1_000 * MILLI);

        assertThat(mOutputs.mStores, is(empty()));
        assertThat(mOutputs.mScores.size(), is(3));
    }

    @ParameterizedTest
    @EnumSource(
            value = RunOutcome.class,
            names = {"BROKEN", "UNFRAMED"})
    void resumesABrokenRunAfterItsLastEventAtAnotherEndpoint(RunOutcome outcome) {
        addEndpoint("e1", 2);
        addEndpoint("e2", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        String first = mOutputs.lastRun().endpoint();
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, 2, 0);
        mMachine.onRunEnd(1, outcome, MILLI);
        mMachine.onTick(100 * MILLI);

        assertThat(mOutputs.lastRun().lastEvent(), is(2));
        assertThat(mOutputs.lastRun().endpoint(), not(first));
        mMachine.onStreamStart(2, 3, 100 * MILLI);
        generateEvents(2, 3, 3, 100 * MILLI);
        mMachine.onRunEnd(2, RunOutcome.COMPLETE, 100 * MILLI);
        SampleResult result = mOutputs.mStores.get(0).results().get(0);
        assertThat(result.text(), is("d1\nd2\nd3"));
        assertThat(result.versions(), contains(2, 3));
    }

    @Test
    void sendsNoSampleToAnEndpointBelowTheMinimumVersion() {
        addEndpoint("e", 1);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        assertThat(mOutputs.mRuns, is(empty()));

        mFleet.get("e").observeVersion(EndpointFixtures.MODEL, 2);
        mMachine.onTick(MILLI);
        assertThat(mOutputs.mRuns.size(), is(1));
    }

    @Test
    void probesAnOutdatedEndpointForTheNamedVersionAtALimitedRate() {
        addEndpoint("e", 1);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 3);
        acquireStep(step(1, sample("a", "g", 1, false), sample("b", "g", 1, false)), false);
        assertThat(mOutputs.mRuns.size(), is(1));
        assertThat(mOutputs.lastRun().options().expectedVersion(), is(3));

        mMachine.onRunEnd(1, RunOutcome.WRONG_VERSION, 10 * MILLI);
        mMachine.onTick(100 * MILLI);
        assertThat(mOutputs.mRuns.size(), is(1));
        mMachine.onTick(120 * MILLI);
        assertThat(mOutputs.mRuns.size(), is(2));

        mMachine.onStreamStart(2, 3, 130 * MILLI);
        mMachine.onTick(131 * MILLI);
        assertThat(mOutputs.mRuns.size(), is(3));
        assertThat(mOutputs.lastRun().options().expectedVersion(), is(0));
    }

    @Test
    void discardsEventsOfARunBelowTheMinimumVersion() {
        addEndpoint("e", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        mMachine.onStreamStart(1, 1, 0);
        generateEvents(1, 1, 1, 0);
        mMachine.onTick(100 * MILLI);

        assertThat(mOutputs.mCancelReasons.get(0), containsString("below the step's minimum"));
        assertThat(mOutputs.lastRun().lastEvent(), is(0));
    }

    @Test
    void restartsASingleVersionSampleWhenTheVersionChanges() {
        addEndpoint("e1", 2);
        addEndpoint("e2", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), true);
        mMachine.onStreamStart(1, 2, 0);
        mMachine.onEvent(1, 1, "d1", 0, 0);
        mMachine.onEvent(1, 2, "d2", 3, 0);
        mMachine.onTick(100 * MILLI);

        assertThat(mOutputs.lastRun().lastEvent(), is(0));
    }

    @Test
    void cancelsARunWithAMissingEvent() {
        addEndpoint("e1", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, 1, 0);
        mMachine.onEvent(1, 3, "d3", 0, 0);
        mMachine.onTick(1_000 * MILLI);

        assertThat(mOutputs.mCancelReasons.get(0), is("received event 3 after event 1"));
        assertThat(mOutputs.lastRun().lastEvent(), is(1));
    }

    @Test
    void migratesASampleFromASilentEndpoint() {
        addEndpoint("e1", 2);
        addEndpoint("e2", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        String first = mOutputs.lastRun().endpoint();
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, 1, 0);
        mMachine.onTick(1_001 * MILLI);

        assertThat(mOutputs.lastRun().endpoint(), not(first));
        assertThat(mOutputs.lastRun().lastEvent(), is(1));
    }

    /** Runs a sample at each of two endpoints, the first of which is five times slower. */
    private void runAtASlowAndAFastEndpoint() {
        addEndpoint("e1", 2);
        addEndpoint("e2", 2);
        acquireStep(step(2, sample("a", "g", 1, false), sample("b", "h", 1, false)), false);
        mMachine.onStreamStart(1, 2, 0);
        mMachine.onStreamStart(2, 2, 0);
        for (int i = 1; i <= 16; i++) {
            if (i % 5 == 0) {
                generateEvents(1, i / 5, i / 5, i * 40 * MILLI);
            }
            generateEvents(2, i, i, i * 40 * MILLI);
        }
        mMachine.onTick(650 * MILLI);
    }

    @Test
    void migratesASampleFromASlowEndpoint() {
        runAtASlowAndAFastEndpoint();

        assertThat(mOutputs.mCancelReasons.get(0), containsString("endpoint is slow"));
        assertThat(mOutputs.lastRun().sample(), is("a"));
    }

    @Test
    void migratesOnlyFromSilentEndpointsIfMigrationIsDisabled() {
        disable(Mechanism.MOVES);
        runAtASlowAndAFastEndpoint();
        assertThat(mOutputs.mCancelReasons, is(empty()));
        mMachine.onTick(1_650 * MILLI);

        assertThat(mOutputs.mCancelReasons.get(0), containsString("endpoint is silent"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void listsResultsInBatchesUnlessTheDelayIsDisabled(boolean enabled) {
        if (!enabled) {
            disable(Mechanism.LISTING_DELAY);
        }
        addEndpoint("e", 2);
        acquireStep(step(2, sample("a", "g", 1, false), sample("b", "h", 1, false)), false);
        mMachine.onStreamStart(1, 2, 0);
        generateEvents(1, 1, EVENTS, 0);
        mMachine.onRunEnd(1, RunOutcome.COMPLETE, 0);
        assertThat(mOutputs.mStores.size(), is(enabled ? 0 : 1));
        mMachine.onTick(600 * MILLI);

        assertThat(mOutputs.mStores.size(), is(1));
    }

    @Test
    void waitsForARecordOfTheVersionIfProbesAreDisabled() {
        disable(Mechanism.TRY_OUTDATED);
        addEndpoint("e", 1);
        mMachine.onVersionNamed(EndpointFixtures.MODEL, 3);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        mMachine.onTick(200 * MILLI);
        assertThat(mOutputs.mRuns, is(empty()));
        addEndpoint("e", 3);
        mMachine.onTick(201 * MILLI);

        assertThat(mOutputs.lastRun().options().expectedVersion(), is(0));
    }

    @Test
    void doesNotMigrateAPreemptedRunWhileAllEndpointsAreBusy() {
        mFleet.onRecord(EndpointFixtures.record("e1", 2, 2));
        mFleet.onRecord(EndpointFixtures.record("e2", 2, 2));
        acquireStep(
                step(
                        1,
                        sample("a", "g", 4, false),
                        sample("b", "g", 3, false),
                        sample("c", "g", 2, false),
                        sample("d", "g", 1, false)),
                false);
        for (int run = 1; run <= 4; run++) {
            mMachine.onStreamStart(run, 2, 0);
            generateEvents(run, 1, 1, 0);
        }
        for (int i = 2; i < 30; i++) {
            for (int run = 2; run <= 4; run++) {
                mMachine.onEvent(run, i, "d", 0, i * 100 * MILLI);
            }
            mMachine.onTick(i * 100 * MILLI);
        }

        assertThat(mOutputs.mCancelReasons, is(empty()));
    }

    @Test
    void abandonsASampleAfterTheMaximumAttemptsOfItsRoute() {
        addEndpoint("e1", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        for (int i = 1; i <= 3; i++) {
            mMachine.onRunEnd(i, RunOutcome.FAILED, i * 100 * MILLI);
            mMachine.onTick(i * 100 * MILLI + 50 * MILLI);
        }

        assertThat(mOutputs.mRuns.size(), is(3));
        assertThat(mOutputs.mStores.get(0).results().get(0).done(), is(false));
        assertThat(mOutputs.mAbandonReasons, contains("it failed 3 times"));
    }

    @Test
    void abandonsAnImpossibleSampleImmediately() {
        addEndpoint("e1", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        mMachine.onRunEnd(1, RunOutcome.IMPOSSIBLE, 0);

        assertThat(mOutputs.mStores.get(0).results().get(0).done(), is(false));
    }

    @Test
    void runsWantedGroupsBeforeTheLongestOnes() {
        mFleet.onRecord(EndpointFixtures.record("e", 1, 2));
        acquireStep(
                step(1, sample("long", "g1", 900, false), sample("short", "g2", 10, false)), false);

        assertThat(mOutputs.lastRun().sample(), is("short"));
    }

    @Test
    void runsSamplesInArrivalOrderIfTheOrderIsDisabled() {
        disable(Mechanism.SAMPLE_ORDER);
        mFleet.onRecord(EndpointFixtures.record("e", 1, 2));
        acquireStep(
                step(1, sample("long", "g1", 900, false), sample("short", "g2", 10, false)), false);

        assertThat(mOutputs.lastRun().sample(), is("long"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sendsFewerSamplesToASlowEndpointUnlessPlacementIsDisabled(boolean enabled) {
        if (!enabled) {
            disable(Mechanism.SAMPLE_PLACEMENT);
        }
        runAtASlowAndAFastEndpoint();
        SampleSpec[] more = new SampleSpec[6];
        for (int i = 0; i < more.length; i++) {
            more[i] = sample("more-" + i, "g", 1, false);
        }
        StepSpec later =
                new StepSpec(
                        StepId.of("later"),
                        "x",
                        "/",
                        4,
                        EndpointFixtures.MODEL,
                        MIN_VERSION,
                        1,
                        List.of(more));
        mMachine.onStepAcquired(later, route(false), List.of(), List.of(), 0, 650 * MILLI);
        long sentToSlow =
                mOutputs.mRuns.stream()
                        .filter(run -> run.sample().startsWith("more"))
                        .filter(run -> run.endpoint().equals("e1"))
                        .count();

        assertThat(sentToSlow, is(enabled ? 1L : 3L));
    }

    @Test
    void continuesACheckpointOfAnEarlierOwner() {
        addEndpoint("e", 2);
        SampleCheckpoint text =
                new SampleCheckpoint(
                        "a",
                        List.of("d1", "d2"),
                        List.of(2, 2),
                        new StreamOrigin(EndpointFixtures.SERVICE, ""),
                        false);
        mMachine.onStepAcquired(
                step(1, sample("a", "g", 1, false)), route(false), List.of(), List.of(text), 0, 0);

        assertThat(mOutputs.lastRun().lastEvent(), is(2));
    }

    @Test
    void keepsPositionsOfAnEarlierOwnersResultsAndDoesNotRunThemAgain() {
        addEndpoint("e", 2);
        SampleResult listed = new SampleResult("a", true, "t", List.of(2), "");
        mMachine.onStepAcquired(
                step(2, sample("a", "g", 1, false), sample("b", "h", 1, false)),
                route(false),
                List.of(listed),
                List.of(),
                0,
                0);

        assertThat(mMachine.listedResults(STEP), contains(listed));
        assertThat(mOutputs.mRuns.size(), is(1));
        assertThat(mOutputs.lastRun().sample(), is("b"));
    }

    @Test
    void returnsUnlistedTextsOfAnEndedStep() {
        addEndpoint("e", 2);
        acquireStep(step(2, sample("a", "g", 2, false), sample("b", "h", 1, false)), false);
        long complete = mOutputs.mRuns.get(0).run();
        long unfinished = mOutputs.mRuns.get(1).run();
        mMachine.onStreamStart(complete, 2, 0);
        mMachine.onStreamStart(unfinished, 2, 0);
        generateEvents(complete, 1, EVENTS, 0);
        generateEvents(unfinished, 1, 2, 0);
        mMachine.onRunEnd(complete, RunOutcome.COMPLETE, 0);

        List<SampleCheckpoint> texts = mMachine.onStepEnded(STEP);
        assertThat(texts.size(), is(2));
        assertThat(texts.get(0).complete(), is(false));
        assertThat(texts.get(0).events(), contains("d1", "d2"));
        assertThat(texts.get(1).complete(), is(true));
        assertThat(texts.get(1).events(), contains("d1", "d2", "d3"));
        assertThat(mMachine.onStepEnded(STEP), is(empty()));
    }

    @Test
    void onlyScoresACompleteTextOfAnEarlierStep() {
        addEndpoint("e", 2);
        SampleResult result = new SampleResult("a", true, "d1\nd2", List.of(2, 3), "old");
        mMachine.onStepAcquired(
                step(1, sample("a", "g", 1, true)),
                route(false),
                List.of(),
                List.of(SampleCheckpoint.ofResult(result)),
                0,
                0);
        assertThat(mOutputs.mRuns, is(empty()));
        long score = mOutputs.mScores.keySet().iterator().next();
        mMachine.onScoreEnd(score, ScoreOutcome.SCORED, "new", 0, 4, 0);

        SampleResult expected = new SampleResult("a", true, "d1\nd2", List.of(2, 3), "new");
        assertThat(mOutputs.mStores.get(0).results(), contains(expected));
    }

    @Test
    void storesACompleteTextOfAnEarlierStepImmediatelyIfNotScored() {
        addEndpoint("e", 2);
        SampleResult result = new SampleResult("a", true, "d1\nd2", List.of(2), "");
        SampleSpec unscored = sample("a", "g", 1, false);

        mMachine.onStepAcquired(
                step(1, unscored),
                route(false),
                List.of(),
                List.of(SampleCheckpoint.ofResult(result)),
                0,
                0);

        assertThat(mOutputs.mRuns, is(empty()));
        assertThat(mOutputs.mScores.keySet(), is(empty()));
        assertThat(mOutputs.mStores.get(0).results(), contains(result));
    }

    @Test
    void cancelsTheRunsOfAnEndedStep() {
        addEndpoint("e", 2);
        acquireStep(step(1, sample("a", "g", 1, false)), false);
        mMachine.onStepEnded(STEP);

        assertThat(mOutputs.mOpenRuns.keySet(), is(empty()));
        assertThat(mFleet.get("e").activeRequests(), is(0));
        mMachine.onRunEnd(1, RunOutcome.COMPLETE, 0);
        assertThat(mOutputs.mStores, is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void listsEachSampleOnceAndCompleteUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        for (int i = 1; i <= 3; i++) {
            mFleet.onRecord(EndpointFixtures.record("e" + i, 2, 2));
        }
        List<SampleSpec> samples = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            samples.add(sample("s" + i, "g" + i / 4, random.nextInt(100), i % 2 == 0));
        }
        StepSpec spec =
                new StepSpec(
                        STEP,
                        "x",
                        "/",
                        3,
                        EndpointFixtures.MODEL,
                        MIN_VERSION,
                        5,
                        List.copyOf(samples));
        acquireStep(spec, false);
        Map<String, SampleResult> listed = runUntilListed(random);

        assertThat(listed.size(), is(24));
        listed.values().stream()
                .filter(SampleResult::done)
                .forEach(result -> assertThat(result.text(), is("d1\nd2\nd3")));
        for (int i = 1; i <= 3; i++) {
            assertThat(mFleet.get("e" + i).activeRequests(), is(0));
        }
    }

    /** Simulates random endpoints and a random store until the step ends; returns its results. */
    private Map<String, SampleResult> runUntilListed(Random random) {
        Map<String, SampleResult> listed = new HashMap<>();
        int stored = 0;
        long now = 0;
        for (int i = 0; i < 20_000 && mMachine.stepCount() > 0; i++) {
            now += MILLI * random.nextInt(30);
            mMachine.onTick(now);
            for (FakeStepOutputs.Run run : List.copyOf(mOutputs.mOpenRuns.values())) {
                simulateRun(run, random, now);
            }
            for (Long run : List.copyOf(mOutputs.mScores.keySet())) {
                mOutputs.mScores.remove(run);
                ScoreOutcome outcome = ScoreOutcome.values()[random.nextInt(3)];
                mMachine.onScoreEnd(run, outcome, "stamp", random.nextInt(2), 4, now);
            }
            if (stored < mOutputs.mStores.size() && random.nextInt(3) == 0) {
                FakeStepOutputs.Store store = mOutputs.mStores.get(stored++);
                assertThat(store.position(), is(listed.size()));
                for (SampleResult result : store.results()) {
                    assertThat(listed.put(result.id(), result) == null, is(true));
                }
                mMachine.onResultsStored(STEP, now);
            }
        }
        return listed;
    }

    private void simulateRun(FakeStepOutputs.Run run, Random random, long now) {
        int events = random.nextInt(EVENTS + 1 - run.lastEvent());
        boolean complete = random.nextInt(3) == 0;
        if (random.nextInt(2) == 0) {
            return;
        }
        mOutputs.mOpenRuns.remove(run.run());
        int version = random.nextInt(8) == 0 ? 1 : 2 + random.nextInt(2);
        mMachine.onStreamStart(run.run(), version, now);
        int last = complete ? EVENTS : run.lastEvent() + events;
        generateEvents(run.run(), run.lastEvent() + 1, last, now);
        RunOutcome[] outcomes = {
            RunOutcome.BROKEN,
            RunOutcome.UNFRAMED,
            RunOutcome.NOT_RUN,
            RunOutcome.UNREACHABLE,
            RunOutcome.FAILED
        };
        RunOutcome outcome =
                complete ? RunOutcome.COMPLETE : outcomes[random.nextInt(outcomes.length)];
        mMachine.onRunEnd(run.run(), outcome, now);
    }
}
