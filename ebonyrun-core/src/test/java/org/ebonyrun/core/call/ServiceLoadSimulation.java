package org.ebonyrun.core.call;

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
 * People's lookups and bursts of background scores at one service, in virtual time.
 *
 * <p>Lookups arrive at random, ten a second, and want an answer in 150 ms; a burst of scores, each
 * of which takes much longer, arrives every four seconds.
 */
final class ServiceLoadSimulation implements CallOutputs {
    private static final long GOAL_NANOS = Nanos.ofMillis(150);
    private static final long LOOKUP_NANOS = Nanos.ofMillis(25);
    private static final long SCORE_NANOS = Nanos.ofMillis(195);
    private static final long LOOKUP_DEADLINE = Nanos.ofMillis(800);
    private static final long SCORE_DEADLINE = Nanos.ofMillis(3_200);
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long BURST_NANOS = Nanos.ofMillis(4_000);
    private static final double LOOKUPS_PER_SECOND = 10;

    /** What came of a load: parts of all lookups and scores that were answered in time. */
    record Outcome(double lookupsInTime, double scoresAnswered) {}

    private final VirtualClock mClock = new VirtualClock();
    private final Fleet mFleet = Fleet.create();
    private final CallMachine mMachine;
    private final Random mRandom;
    private final int mBurst;
    private final Map<String, Double> mSlowness = new HashMap<>();
    private final Set<Long> mOpen = new HashSet<>();
    private final List<CallSpec> mAnswered = new ArrayList<>();
    private long mCalls;
    private int mLookups;
    private int mScores;
    private int mInGoal;

    /**
     * Prepares a load.
     *
     * @param slowness how many times slower than normal each endpoint is
     * @param burst how many scores arrive at once
     */
    ServiceLoadSimulation(
            CallOrder order, CallPlacement placement, List<Double> slowness, int burst, long seed) {
        mMachine = CallMachine.create(mFleet, order, placement, this);
        mRandom = new Random(seed);
        mBurst = burst;
        for (int i = 0; i < slowness.size(); i++) {
            mSlowness.put("e" + i, slowness.get(i));
            mFleet.onRecord(EndpointFixtures.record("e" + i, 6, 1));
        }
        mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
        mClock.scheduleEvery(BURST_NANOS, this::burst);
        mClock.schedule(0, this::lookup);
    }

    /** Plays the load. */
    Outcome run(long seconds) {
        mClock.runUntil(Nanos.ofMillis(seconds * 1_000));
        long scores = mAnswered.stream().filter(CallSpec::background).count();
        return new Outcome(mInGoal / (double) mLookups, scores / (double) mScores);
    }

    private static Route route(int priority) {
        return EndpointFixtures.route(
                RouteKind.IDEMPOTENT,
                new CallOptions(3_000, Nanos.toMillis(GOAL_NANOS), 3, priority),
                StepOptions.NONE);
    }

    private void lookup(long now) {
        mLookups++;
        arrive(false, LOOKUP_DEADLINE, now);
        double gap = -Math.log(1 - mRandom.nextDouble()) / LOOKUPS_PER_SECOND;
        mClock.schedule(now + (long) (gap * Nanos.ofMillis(1_000)), this::lookup);
    }

    private void burst(long now) {
        for (int i = 0; i < mBurst; i++) {
            mScores++;
            arrive(true, SCORE_DEADLINE, now);
        }
    }

    private void arrive(boolean background, long deadline, long now) {
        long id = ++mCalls;
        // Both kinds have the same priority, as on deployments whose operators set none.
        CallSpec call =
                new CallSpec(
                        id,
                        "c" + id,
                        route(1),
                        EndpointFixtures.SERVICE,
                        now,
                        now + deadline,
                        background);
        mMachine.onCall(call, now);
    }

    @Override
    public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
        mOpen.add(attempt);
        long work = call.background() ? SCORE_NANOS : LOOKUP_NANOS;
        double spread = 0.5 + mRandom.nextDouble();
        long takes = (long) (work * spread * mSlowness.get(endpoint.id()));
        mClock.schedule(
                mClock.now() + takes,
                now -> {
                    if (mOpen.remove(attempt)) {
                        mMachine.onAttemptEnd(attempt, AttemptOutcome.ANSWERED, now);
                    }
                });
    }

    @Override
    public void cancel(long attempt) {
        mOpen.remove(attempt);
    }

    @Override
    public void deliver(CallSpec call, long attempt) {
        mAnswered.add(call);
        if (!call.background() && mClock.now() - call.arrivedAt() <= GOAL_NANOS) {
            mInGoal++;
        }
    }

    @Override
    public void refuse(CallSpec call, long retryAfterMillis, String reason) {
        // Counts as not answered.
    }

    @Override
    public void fail(CallSpec call, boolean timeout, String reason) {
        // Counts as not answered.
    }
}
