package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
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
 * Trainers that ask for step after step from a pool of endpoints, in virtual time.
 *
 * <p>An endpoint generates an event of each of its runs at a pace of its own, which grows with the
 * runs that it has. A trainer ends a step once the wanted groups are whole, trains, and asks for
 * the next, with the groups that were not whole first and waited for.
 */
final class TrainerLoadSimulation implements StepOutputs {
    private static final long EVENT_NANOS = Nanos.ofMillis(20);
    private static final double SLOWER_PER_RUN = 0.03;
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

    /** A trainer between two moments. */
    private static final class Trainer {
        final int mNumber;
        int mStep;
        long mAskedAt;
        long mWaited;
        int mDone;
        StepSpec mSpec;
        final Set<String> mMissing = new HashSet<>();
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
    private final Map<String, Double> mSlowness = new HashMap<>();
    private final Map<String, Trainer> mTrainers = new HashMap<>();
    private final Map<StepId, List<SampleCheckpoint>> mTexts = new HashMap<>();
    private final Set<Long> mOpen = new HashSet<>();
    private final boolean mCarriesTexts;

    /**
     * Prepares a load.
     *
     * @param slowness how many times slower than normal each endpoint is
     * @param trainers how many trainers share the pool
     * @param groups how many groups of four samples a step has
     * @param carriesTexts whether a step goes on with texts of the one before
     */
    TrainerLoadSimulation(
            SampleOrder order,
            SamplePlacement placement,
            List<Double> slowness,
            int trainers,
            int groups,
            boolean carriesTexts,
            long seed) {
        mMachine = StepMachine.create(mFleet, order, placement, this);
        mRandom = new Random(seed);
        mGroups = groups;
        mCarriesTexts = carriesTexts;
        for (int i = 0; i < slowness.size(); i++) {
            mSlowness.put("e" + i, slowness.get(i));
            mFleet.onRecord(EndpointFixtures.record("e" + i, 8, 1));
        }
        for (int i = 0; i < trainers; i++) {
            Trainer trainer = new Trainer(i);
            mTrainers.put("t" + i, trainer);
            mClock.schedule(0, now -> ask(trainer, now));
        }
        mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
    }

    /** Plays the load and returns how long trainers waited for a step, in ms at the mean. */
    double run(long seconds) {
        mClock.runUntil(Nanos.ofMillis(seconds * 1_000));
        long waited = mTrainers.values().stream().mapToLong(trainer -> trainer.mWaited).sum();
        int done = mTrainers.values().stream().mapToInt(trainer -> trainer.mDone).sum();
        return done == 0 ? Double.MAX_VALUE : Nanos.toMillis(waited) / (double) done;
    }

    private void ask(Trainer trainer, long now) {
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
        trainer.mAskedAt = now;
        trainer.mListed.clear();
        trainer.mMissing.clear();
        trainer.mCarried.forEach(sample -> trainer.mMissing.add(sample.id()));
        StepId before = StepId.of("t" + trainer.mNumber + "-" + (trainer.mStep - 1));
        List<SampleCheckpoint> texts = mTexts.getOrDefault(before, List.of());
        List<SampleCheckpoint> fitting =
                CarriedTexts.selectUsable(trainer.mSpec, false, List.of(), texts);
        mTexts.remove(before);
        mMachine.onStepAcquired(trainer.mSpec, ROUTE, List.of(), fitting, 0, now);
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
            RunOptions terms) {
        mOpen.add(run);
        mClock.schedule(mClock.now(), now -> mMachine.onStreamStart(run, 1, now));
        next(run, sample, endpoint, lastEvent + 1);
    }

    private void next(long run, SampleSpec sample, Endpoint endpoint, int event) {
        double pace =
                EVENT_NANOS
                        * mSlowness.get(endpoint.id())
                        * (1 + SLOWER_PER_RUN * endpoint.activeRequests());
        mClock.schedule(
                mClock.now() + (long) pace, now -> generate(run, sample, endpoint, event, now));
    }

    private void generate(long run, SampleSpec sample, Endpoint endpoint, int event, long now) {
        if (!mOpen.contains(run)) {
            return;
        }
        mMachine.onEvent(run, event, "d" + event, 0, now);
        if (event < sample.expectedTokens()) {
            next(run, sample, endpoint, event + 1);
        } else {
            mOpen.remove(run);
            mMachine.onRunEnd(run, RunOutcome.COMPLETE, now);
        }
    }

    @Override
    public void cancelRun(long run, String reason) {
        mOpen.remove(run);
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {
        throw new IllegalStateException("sample " + sample.id() + " is not to be scored");
    }

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mClock.schedule(
                mClock.now(),
                now -> {
                    mMachine.onResultsStored(step, now);
                    read(step, results, now);
                });
    }

    @Override
    public void onResultsListed(StepId step) {
        // Read when the store has acknowledged the results.
    }

    private void read(StepId step, List<SampleResult> results, long now) {
        Trainer trainer = mTrainers.get(step.toString().replaceAll("-.*", ""));
        if (!trainer.mSpec.id().equals(step)) {
            return;
        }
        for (SampleResult result : results) {
            trainer.mListed.add(result.id());
            trainer.mMissing.remove(result.id());
        }
        Map<String, Integer> left = new HashMap<>();
        for (SampleSpec sample : trainer.mSpec.samples()) {
            int missing = trainer.mListed.contains(sample.id()) ? 0 : 1;
            left.merge(sample.group(), missing, Integer::sum);
        }
        long whole = left.values().stream().filter(count -> count == 0).count();
        if (whole < trainer.mSpec.wantedGroups() || !trainer.mMissing.isEmpty()) {
            return;
        }
        trainer.mWaited += now - trainer.mAskedAt;
        trainer.mDone++;
        trainer.mCarried =
                trainer.mSpec.samples().stream().filter(s -> left.get(s.group()) > 0).toList();
        List<SampleCheckpoint> texts = mMachine.onStepEnded(step);
        if (mCarriesTexts) {
            mTexts.put(step, texts);
        }
        mClock.schedule(now + TRAIN_NANOS, later -> ask(trainer, later));
    }
}
