package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.hedge.ConfiguredHedging;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;

/**
 * Simulates idempotent calls from several entries to the endpoints of one service, in virtual time.
 * A few answers are slow at random; an endpoint with all slots in use rejects what comes.
 */
final class TailLoadSimulation {
    private static final long TARGET_MILLIS = 400;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final int SLOTS = 6;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long REJECTION_NANOS = Nanos.ofMillis(1);

    /**
     * The load of a simulation.
     *
     * @param entries the number of entries
     * @param endpoints the number of endpoints, in three failure domains
     * @param callsPerSecond the calls of all entries together
     * @param slowShare the share of answers that take twenty times as long
     * @param slowEndpoint how many times longer the first endpoint takes for each answer
     */
    record Load(
            int entries,
            int endpoints,
            double callsPerSecond,
            double slowShare,
            double slowEndpoint) {}

    /**
     * The result of a simulation; latencies in milliseconds.
     *
     * @param runs attempts that were not rejected
     */
    record Outcome(
            int calls, int answered, int runs, int hedges, int won, long p50, long p99, long p999) {
        double extraWork() {
            return (double) hedges / answered;
        }
    }

    private final VirtualClock mClock = new VirtualClock();
    private final Random mArrivals;
    private final Random mWork;
    private final Load mLoad;
    private final OptionalDouble mLimit;
    private final List<Entry> mEntries = new ArrayList<>();
    private final Map<String, Integer> mActive = new HashMap<>();
    private final List<Long> mLatencies = new ArrayList<>();
    private long mCalls;
    private int mRuns;
    private int mHedges;
    private int mWon;

    TailLoadSimulation(Load load, OptionalDouble limit, long seed) {
        mLoad = load;
        mLimit = limit;
        mArrivals = new Random(seed);
        mWork = new Random(seed + 1);
        for (int i = 0; i < load.entries(); i++) {
            mEntries.add(new Entry(i));
        }
        mClock.schedule(0, this::arrive);
    }

    /** Replaces every entry by a new process, without its open calls. */
    void restartEntriesAt(long millis) {
        mClock.schedule(
                Nanos.ofMillis(millis),
                now -> {
                    for (int i = 0; i < mEntries.size(); i++) {
                        mEntries.set(i, new Entry(i));
                    }
                });
    }

    /** Runs the simulation. */
    Outcome run(long seconds) {
        mClock.runUntil(Nanos.ofMillis(seconds * 1_000));
        List<Long> sorted = mLatencies.stream().sorted().toList();
        return new Outcome(
                (int) mCalls,
                sorted.size(),
                mRuns,
                mHedges,
                mWon,
                quantile(sorted, 0.5),
                quantile(sorted, 0.99),
                quantile(sorted, 0.999));
    }

    private static long quantile(List<Long> sorted, double q) {
        return Nanos.toMillis(sorted.get((int) (q * (sorted.size() - 1))));
    }

    private void arrive(long now) {
        long id = ++mCalls;
        Entry entry = mEntries.get(mArrivals.nextInt(mEntries.size()));
        CallSpec call =
                new CallSpec(
                        id,
                        "c" + id,
                        EndpointFixtures.route(
                                RouteKind.IDEMPOTENT,
                                new CallOptions(TIMEOUT_MILLIS, TARGET_MILLIS, 2, 1),
                                StepOptions.NONE),
                        EndpointFixtures.SERVICE,
                        now,
                        now + Nanos.ofMillis(TIMEOUT_MILLIS),
                        false,
                        null,
                        null);
        entry.mMachine.onCall(call, now);
        double gap = -Math.log(1 - mArrivals.nextDouble()) / mLoad.callsPerSecond();
        mClock.schedule(now + (long) (gap * Nanos.ofMillis(1_000)), this::arrive);
    }

    /** One entry with its own view of the endpoints. */
    private final class Entry implements CallOutputs {
        private final CallMachine mMachine;
        private final Map<Long, String> mOpen = new HashMap<>();

        Entry(int index) {
            Fleet fleet = Fleet.create();
            for (int i = 0; i < mLoad.endpoints(); i++) {
                fleet.onRecord(EndpointFixtures.record("e" + i, SLOTS, 1, "d" + i % 3));
            }
            mMachine =
                    CallMachine.create(
                            fleet,
                            FailureDomain.of("d" + index % 3),
                            Policy.ALL,
                            new ConfiguredHedging(() -> mLimit),
                            CallGuard.NONE,
                            this);
            mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
        }

        @Override
        public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
            int active = mActive.getOrDefault(endpoint.id(), 0);
            if (active >= SLOTS) {
                mClock.schedule(
                        mClock.now() + REJECTION_NANOS,
                        now -> mMachine.onAttemptEnd(attempt, AttemptOutcome.NOT_RUN, now));
                return;
            }
            mActive.put(endpoint.id(), active + 1);
            mOpen.put(attempt, endpoint.id());
            mRuns++;
            double millis = 20 + 20 * mWork.nextDouble();
            if (mWork.nextDouble() < mLoad.slowShare()) {
                millis *= 20;
            }
            if (endpoint.id().equals("e0")) {
                millis *= mLoad.slowEndpoint();
            }
            mClock.schedule(
                    mClock.now() + (long) (millis * Nanos.ofMillis(1)),
                    now -> {
                        if (release(attempt)) {
                            mMachine.onAttemptEnd(attempt, AttemptOutcome.ANSWERED, now);
                        }
                    });
        }

        private boolean release(long attempt) {
            String endpoint = mOpen.remove(attempt);
            if (endpoint != null) {
                mActive.merge(endpoint, -1, Integer::sum);
            }
            return endpoint != null;
        }

        @Override
        public void cancel(long attempt) {
            release(attempt);
        }

        @Override
        public void deliver(CallSpec call, long attempt) {
            mLatencies.add(mClock.now() - call.arrivedAt());
        }

        @Override
        public void refuseKey(CallSpec call) {
            // Counts as not answered.
        }

        @Override
        public void refuse(CallSpec call, long retryAfterMillis, String reason) {
            // Counts as not answered.
        }

        @Override
        public void fail(CallSpec call, boolean timeout, String reason) {
            // Counts as not answered.
        }

        @Override
        public void onHedgeDecided(CallSpec call, HedgeDecision decision, long openNanos) {
            mHedges += decision.scopes().isEmpty() ? 0 : 1;
        }

        @Override
        public void onHedgeEnded(CallSpec call, boolean won) {
            mWon += won ? 1 : 0;
        }
    }
}
