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
 * Simulates interactive lookups and bursts of background scores at one service, in virtual time.
 *
 * <p>Lookups arrive at random, ten a second, with a target latency of 150 ms. A burst of scores,
 * each of which takes much longer, arrives every four seconds.
 */
final class ServiceLoadSimulation implements CallOutputs {
    private static final long TARGET_NANOS = Nanos.ofMillis(150);
    private static final long LOOKUP_NANOS = Nanos.ofMillis(25);
    private static final long SCORE_NANOS = Nanos.ofMillis(195);
    private static final long LOOKUP_DEADLINE = Nanos.ofMillis(800);
    private static final long SCORE_DEADLINE = Nanos.ofMillis(3_200);
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long BURST_NANOS = Nanos.ofMillis(4_000);
    private static final double LOOKUPS_PER_SECOND = 10;

    /**
     * The result of a simulation.
     *
     * @param lookupsInTime the fraction of lookups that were answered within their target latency
     * @param scoresAnswered the fraction of scores that were answered before their deadline
     */
    record Outcome(double lookupsInTime, double scoresAnswered) {}

    private final VirtualClock mClock = new VirtualClock();
    private final Fleet mFleet = Fleet.create();
    private final CallMachine mMachine;
    private final Random mRandom;
    private final int mBurstSize;
    private final Map<String, Double> mSlowdowns = new HashMap<>();
    private final Set<Long> mOpen = new HashSet<>();
    private final List<CallSpec> mAnswered = new ArrayList<>();
    private long mCalls;
    private int mLookups;
    private int mScores;
    private int mLookupsInTime;

    /**
     * Creates a simulation.
     *
     * @param slowdowns by which factor each endpoint is slower than normal
     * @param burst the number of scores that arrive at once
     */
    ServiceLoadSimulation(
            CallOrder order,
            CallPlacement placement,
            List<Double> slowdowns,
            int burst,
            long seed) {
        mMachine = CallMachine.create(mFleet, order, placement, this);
        mRandom = new Random(seed);
        mBurstSize = burst;
        for (int i = 0; i < slowdowns.size(); i++) {
            mSlowdowns.put("e" + i, slowdowns.get(i));
            mFleet.onRecord(EndpointFixtures.record("e" + i, 6, 1));
        }
        mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
        mClock.scheduleEvery(BURST_NANOS, this::burst);
        mClock.schedule(0, this::lookup);
    }

    /** Runs the simulation. */
    Outcome run(long seconds) {
        mClock.runUntil(Nanos.ofMillis(seconds * 1_000));
        long scores = mAnswered.stream().filter(CallSpec::background).count();
        return new Outcome(mLookupsInTime / (double) mLookups, scores / (double) mScores);
    }

    private static Route route(int priority) {
        return EndpointFixtures.route(
                RouteKind.IDEMPOTENT,
                new CallOptions(3_000, Nanos.toMillis(TARGET_NANOS), 3, priority),
                StepOptions.NONE);
    }

    private void lookup(long now) {
        mLookups++;
        arrive(false, LOOKUP_DEADLINE, now);
        double gap = -Math.log(1 - mRandom.nextDouble()) / LOOKUPS_PER_SECOND;
        mClock.schedule(now + (long) (gap * Nanos.ofMillis(1_000)), this::lookup);
    }

    private void burst(long now) {
        for (int i = 0; i < mBurstSize; i++) {
            mScores++;
            arrive(true, SCORE_DEADLINE, now);
        }
    }

    private void arrive(boolean background, long deadline, long now) {
        long id = ++mCalls;
        // Both kinds have the same priority, as in deployments whose operators set none.
        CallSpec call =
                new CallSpec(
                        id,
                        "c" + id,
                        route(1),
                        EndpointFixtures.SERVICE,
                        now,
                        now + deadline,
                        background,
                        null,
                        null);
        mMachine.onCall(call, now);
    }

    @Override
    public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
        mOpen.add(attempt);
        long work = call.background() ? SCORE_NANOS : LOOKUP_NANOS;
        double jitter = 0.5 + mRandom.nextDouble();
        long durationNanos = (long) (work * jitter * mSlowdowns.get(endpoint.id()));
        mClock.schedule(
                mClock.now() + durationNanos,
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
        if (!call.background() && mClock.now() - call.arrivedAt() <= TARGET_NANOS) {
            mLookupsInTime++;
        }
    }

    @Override
    public void refuse(CallSpec call, long retryAfterMillis, String reason) {
        // Counts as not answered.
    }

    @Override
    public void refuseKey(CallSpec call) {
        // Counts as not answered.
    }

    @Override
    public void fail(CallSpec call, boolean timeout, String reason) {
        // Counts as not answered.
    }
}
