package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;

/**
 * Simulates trainers that submit one step after another to a pool of endpoints, in virtual time.
 *
 * <p>The time between two events of a run depends on its endpoint and grows with the number of runs
 * there. A trainer ends a step once the wanted groups are complete, trains, and submits the next
 * step. That one starts with the incomplete groups, and the trainer waits for all of these.
 */
final class TrainerLoadSimulation implements StepOutputs {
    private static final long EVENT_NANOS = Nanos.ofMillis(20);
    private static final double SLOWDOWN_PER_RUN = 0.03;
    private static final long TRAIN_NANOS = Nanos.ofMillis(1_000);
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final int GROUP_SIZE = 4;
    private static final double LONG_SHARE = 0.08;
    private static final int MEAN_EVENTS = 20;
    private static final int LONG_EVENTS = 100;
    private static final Route ROUTE =
            EndpointFixtures.route(
                    RouteKind.STEPS,
                    new CallOptions(10_000, 500, 3, 0),
                    new StepOptions(7_500, 40_000, false));

    /** The state of one trainer. */
    private static final class Trainer {
        final int mNumber;
        int mStep;
        long mSubmittedAt;
        long mWaitedNanos;
        int mCompletedSteps;
        StepSpec mSpec;
        final Set<String> mUnlistedRequired = new HashSet<>();
        final Set<String> mListed = new HashSet<>();
        List<SampleSpec> mCarried = List.of();

        Trainer(int number) {
            mNumber = number;
        }
    }

    private final VirtualClock mClock = new VirtualClock();
    private final Fleet mFleet = Fleet.create();
    private final StepMachine mMachine;
    private final Random mRandom;
    private final int mGroups;
    private final Map<String, Double> mSlowdowns = new HashMap<>();
    private final Map<String, Trainer> mTrainers = new HashMap<>();
    private final Map<StepId, List<SampleCheckpoint>> mCheckpoints = new HashMap<>();
    private final Set<Long> mOpenRuns = new HashSet<>();
    private final boolean mCarriesTexts;
    private int mMigrations;
    private int mListedSamples;

    /**
     * Creates a simulation.
     *
     * @param slowdowns by which factor each endpoint is slower than normal
     * @param trainers how many trainers share the pool
     * @param groups how many groups of four samples a step has
     * @param carriesTexts whether a step continues texts of the step before
     */
    TrainerLoadSimulation(
            SampleOrder order,
            Function<GroupForecast, SamplePlacement> placement,
            List<Double> slowdowns,
            int trainers,
            int groups,
            boolean carriesTexts,
            long seed) {
        GroupForecast forecast = new GroupForecast();
        mMachine = StepMachine.create(mFleet, order, placement.apply(forecast), forecast, this);
        mRandom = new Random(seed);
        mGroups = groups;
        mCarriesTexts = carriesTexts;
        for (int i = 0; i < slowdowns.size(); i++) {
            mSlowdowns.put("e" + i, slowdowns.get(i));
            mFleet.onRecord(EndpointFixtures.record("e" + i, 8, 1));
        }
        for (int i = 0; i < trainers; i++) {
            Trainer trainer = new Trainer(i);
            mTrainers.put("t" + i, trainer);
            mClock.schedule(0, now -> submit(trainer, now));
        }
        mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
    }

    /** Runs the simulation and returns the mean time that trainers waited for a step, in ms. */
    double run(long seconds) {
        mClock.runUntil(Nanos.ofMillis(seconds * 1_000));
        long waited = mTrainers.values().stream().mapToLong(trainer -> trainer.mWaitedNanos).sum();
        int steps = mTrainers.values().stream().mapToInt(trainer -> trainer.mCompletedSteps).sum();
        return steps == 0 ? Double.MAX_VALUE : Nanos.toMillis(waited) / (double) steps;
    }

    /** Returns how many samples were listed. */
    int listedSamples() {
        return mListedSamples;
    }

    /** Returns how many samples migrated from a slow endpoint. */
    int migrations() {
        return mMigrations;
    }

    private void submit(Trainer trainer, long now) {
        List<SampleSpec> samples = new ArrayList<>(trainer.mCarried);
        trainer.mStep++;
        String name = "t" + trainer.mNumber + "-" + trainer.mStep;
        int added = mGroups - samples.size() / GROUP_SIZE;
        for (int group = 0; group < added; group++) {
            for (int i = 0; i < GROUP_SIZE; i++) {
                String id = name + "-" + group + "-" + i;
                samples.add(sample(id, name + "-" + group));
            }
        }
        int wanted = (int) Math.ceil(0.9 * mGroups);
        StepId id = StepId.of(name);
        trainer.mSpec =
                new StepSpec(
                        id, "x", "/", trainer.mStep, EndpointFixtures.MODEL, 1, wanted, samples);
        trainer.mSubmittedAt = now;
        trainer.mListed.clear();
        trainer.mUnlistedRequired.clear();
        trainer.mCarried.forEach(sample -> trainer.mUnlistedRequired.add(sample.id()));
        StepId before = StepId.of("t" + trainer.mNumber + "-" + (trainer.mStep - 1));
        List<SampleCheckpoint> texts = mCheckpoints.getOrDefault(before, List.of());
        List<SampleCheckpoint> usable =
                CarriedTexts.selectUsable(trainer.mSpec, false, List.of(), texts);
        mCheckpoints.remove(before);
        mMachine.onStepAcquired(trainer.mSpec, ROUTE, List.of(), usable, 0, now);
    }

    private SampleSpec sample(String id, String group) {
        boolean isLong = mRandom.nextDouble() < LONG_SHARE;
        int mean = isLong ? LONG_EVENTS : MEAN_EVENTS;
        int events = Math.max(1, (int) (mean * (0.5 + mRandom.nextDouble())));
        return new SampleSpec(id, "/g", Map.of(), new byte[0], events, group, null);
    }

    @Override
    public void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options) {
        mOpenRuns.add(run);
        mClock.schedule(mClock.now(), now -> mMachine.onStreamStart(run, 1, now));
        scheduleEvent(run, sample, endpoint, lastEvent + 1);
    }

    private void scheduleEvent(long run, SampleSpec sample, Endpoint endpoint, int event) {
        double eventNanos =
                EVENT_NANOS
                        * mSlowdowns.get(endpoint.id())
                        * (1 + SLOWDOWN_PER_RUN * endpoint.activeRequests());
        mClock.schedule(
                mClock.now() + (long) eventNanos,
                now -> generate(run, sample, endpoint, event, now));
    }

    private void generate(long run, SampleSpec sample, Endpoint endpoint, int event, long now) {
        if (!mOpenRuns.contains(run)) {
            return;
        }
        mMachine.onEvent(run, event, "d" + event, 0, now);
        if (event < sample.expectedTokens()) {
            scheduleEvent(run, sample, endpoint, event + 1);
        } else {
            mOpenRuns.remove(run);
            mMachine.onRunEnd(run, RunOutcome.COMPLETE, now);
        }
    }

    @Override
    public void cancelRun(long run, String reason) {
        mMigrations += reason.startsWith("endpoint is slow") ? 1 : 0;
        mOpenRuns.remove(run);
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {
        throw new IllegalStateException("sample " + sample.id() + " has no scoring call");
    }

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mClock.schedule(
                mClock.now(),
                now -> {
                    mMachine.onResultsStored(step, now);
                    readResults(step, results, now);
                });
    }

    @Override
    public void onTextDiscarded(StepId step, SampleCheckpoint text, String reason) {
        // Only the runs that follow matter.
    }

    @Override
    public void onAbandoned(StepId step, String sample, String reason) {
        // The result that follows tells.
    }

    @Override
    public void cancelScoring(long run, String reason) {
        // Samples are not scored here.
    }

    @Override
    public void onResultsListed(StepId step) {
        // The results are read when the store acknowledges them.
    }

    private void readResults(StepId step, List<SampleResult> results, long now) {
        Trainer trainer = mTrainers.get(step.toString().replaceAll("-.*", ""));
        if (!trainer.mSpec.id().equals(step)) {
            return;
        }
        mListedSamples += results.size();
        for (SampleResult result : results) {
            trainer.mListed.add(result.id());
            trainer.mUnlistedRequired.remove(result.id());
        }
        Map<String, Integer> unlisted = new HashMap<>();
        for (SampleSpec sample : trainer.mSpec.samples()) {
            int count = trainer.mListed.contains(sample.id()) ? 0 : 1;
            unlisted.merge(sample.group(), count, Integer::sum);
        }
        long completeGroups = unlisted.values().stream().filter(count -> count == 0).count();
        if (completeGroups < trainer.mSpec.wantedGroups() || !trainer.mUnlistedRequired.isEmpty()) {
            return;
        }
        trainer.mWaitedNanos += now - trainer.mSubmittedAt;
        trainer.mCompletedSteps++;
        trainer.mCarried =
                trainer.mSpec.samples().stream().filter(s -> unlisted.get(s.group()) > 0).toList();
        List<SampleCheckpoint> texts = mMachine.onStepEnded(step);
        if (mCarriesTexts) {
            mCheckpoints.put(step, texts);
        }
        mClock.schedule(now + TRAIN_NANOS, later -> submit(trainer, later));
    }
}
