package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A step of a route that requires a single weight version, while endpoints load versions, runs
 * break and other processes take the step up, in random order. Guards against accepted samples that
 * no endpoint gets again although all have room.
 */
class SingleVersionProgressTest {
    private static final StepId STEP = StepId.of("step");
    private static final int SAMPLES = 12;
    private static final int ENDPOINTS = 4;
    private static final int EVENTS = 60;
    private static final long TICK_MILLIS = 20;
    // A second for endpoints of the text's version, and the ticks around it.
    private static final long MAX_WAIT_MILLIS = 1_100;
    private static final long CHANGES_MILLIS = 20_000;
    private static final Route ROUTE =
            EndpointFixtures.route(
                    RouteKind.STEPS,
                    new CallOptions(10_000, 500, 3, 0),
                    new StepOptions(7_500, 600_000, true));

    private final Fleet mFleet = Fleet.create();
    private final FakeStepOutputs mOutputs = new FakeStepOutputs();
    private final Map<String, Integer> mVersions = new HashMap<>();
    private final Map<Long, Integer> mLastEvents = new HashMap<>();
    private final Map<String, Long> mLastRunAt = new HashMap<>();
    private final List<SampleResult> mListed = new ArrayList<>();
    private StepMachine mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);
    private Random mRandom = new Random(0);
    private long mMillis;

    static IntStream seeds() {
        return IntStream.range(0, 200);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void eachSampleRunsWhileEndpointsHaveRoom(int seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            setVersion("e" + i, 1 + mRandom.nextInt(2));
        }
        acquire(List.of());
        while (mMachine.stepCount() > 0) {
            mMillis += TICK_MILLIS;
            if (mMillis < CHANGES_MILLIS) {
                change();
            }
            List.copyOf(mOutputs.mOpenRuns.values()).forEach(this::advance);
            mMachine.onTick(now());
            list();
            checkProgress();
        }
        assertThat(mListed, hasSize(SAMPLES));
        mListed.forEach(result -> assertThat(result.versions(), hasSize(1)));
    }

    private long now() {
        return mMillis * Nanos.PER_MILLI;
    }

    private void acquire(List<SampleCheckpoint> texts) {
        List<SampleSpec> samples = new ArrayList<>();
        for (int i = 0; i < SAMPLES; i++) {
            samples.add(new SampleSpec("s" + i, "/g", Map.of(), new byte[0], 1, "g", null));
        }
        StepSpec step = new StepSpec(STEP, "x", "/", 3, EndpointFixtures.MODEL, 1, 1, samples);
        mMachine.onStepAcquired(step, ROUTE, mListed, texts, mMillis, now());
    }

    private void setVersion(String endpoint, int version) {
        mVersions.put(endpoint, version);
        mFleet.onRecord(EndpointFixtures.record(endpoint, SAMPLES, version));
    }

    private void change() {
        if (mRandom.nextInt(50) == 0) {
            String endpoint = "e" + mRandom.nextInt(ENDPOINTS);
            setVersion(endpoint, mVersions.get(endpoint) + 1);
        }
        if (mRandom.nextInt(200) == 0) {
            takeUp();
        }
    }

    /** Another process takes the step up, some versions later. */
    private void takeUp() {
        List<SampleCheckpoint> texts = mMachine.handOver(STEP);
        mOutputs.mOpenRuns.clear();
        mLastEvents.clear();
        mMachine = StepMachine.create(mFleet, Policy.ALL, mOutputs);
        List.copyOf(mVersions.keySet())
                .forEach(id -> setVersion(id, mVersions.get(id) + mRandom.nextInt(3)));
        acquire(texts);
    }

    private void advance(FakeStepOutputs.Run run) {
        mLastRunAt.put(run.sample(), mMillis);
        Integer last = mLastEvents.get(run.run());
        int version = mVersions.get(run.endpoint());
        if (last == null) {
            mLastEvents.put(run.run(), run.lastEvent());
            mMachine.onStreamStart(run.run(), version, now());
        } else if (last == EVENTS || mRandom.nextInt(40) == 0) {
            mOutputs.mOpenRuns.remove(run.run());
            RunOutcome end = last == EVENTS ? RunOutcome.COMPLETE : RunOutcome.UNFRAMED;
            mMachine.onRunEnd(run.run(), end, now());
        } else {
            mLastEvents.put(run.run(), last + 1);
            mMachine.onEvent(run.run(), last + 1, "d", version, now());
        }
    }

    private void list() {
        while (!mOutputs.mStores.isEmpty()) {
            FakeStepOutputs.Store store = mOutputs.mStores.remove(0);
            assertThat(store.position(), is(mListed.size()));
            mListed.addAll(store.results());
            mMachine.onResultsStored(STEP, now());
        }
    }

    private void checkProgress() {
        Set<String> complete = new HashSet<>();
        mListed.forEach(result -> complete.add(result.id()));
        mMachine.checkpoints(STEP, 1).stream()
                .filter(SampleCheckpoint::complete)
                .forEach(text -> complete.add(text.id()));
        Set<String> running = new HashSet<>();
        mOutputs.mOpenRuns.values().forEach(run -> running.add(run.sample()));
        for (int i = 0; i < SAMPLES; i++) {
            String sample = "s" + i;
            if (!complete.contains(sample) && !running.contains(sample)) {
                long waited = mMillis - mLastRunAt.getOrDefault(sample, 0L);
                assertThat(sample + " waits", waited, lessThan(MAX_WAIT_MILLIS));
            }
        }
    }
}
