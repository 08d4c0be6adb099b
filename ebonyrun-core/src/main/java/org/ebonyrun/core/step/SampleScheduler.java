package org.ebonyrun.core.step;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.WeightedService;

/**
 * Chooses endpoints for samples, and tells when a sample is better off elsewhere.
 *
 * <p>Answers the load of a pool in which some endpoints are several times slower than others or
 * silent: a sample leaves an endpoint that has fallen behind when a fast one has room. What a
 * service has is looked up once a round, however many samples wait.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class SampleScheduler {
    private static final long FIRST_EVENT_NANOS = Nanos.ofMillis(1_500);
    private static final long SILENT_NANOS = Nanos.ofMillis(1_000);
    private static final long STALLED_NANOS = Nanos.ofMillis(2_500);
    private static final long MIN_RUN_NANOS = Nanos.ofMillis(600);
    private static final long PACE_AGE_NANOS = Nanos.ofMillis(2_500);
    // How many times slower than the best pace an endpoint is when its samples move.
    private static final double SLOW_FACTOR = 2.0;
    private static final int URGENCY_LATE = 2;
    private static final int URGENCY_WANTED = 4;
    private static final int URGENCY_SPARE = 6;
    private static final long LATE_NANOS = Nanos.ofMillis(3_000);

    /** The step and the service for which a sample needs an endpoint. */
    record PlacementKey(StepProgress step, ServiceName service) {}

    /** The endpoints of one service in one round, and the best pace among them. */
    private record Pool(List<Endpoint> endpoints, double bestPace) {}

    private final Fleet mFleet;
    private final SamplePlacement mPlacement;
    private final boolean mMoves;
    private final Map<ServiceName, Pool> mPools = new HashMap<>();

    /**
     * Creates a scheduler.
     *
     * @param moves whether samples leave endpoints that are not silent but slow, or stall them
     */
    SampleScheduler(Fleet fleet, SamplePlacement placement, boolean moves) {
        mFleet = fleet;
        mPlacement = placement;
        mMoves = moves;
    }

    /** Returns for what a sample needs an endpoint. */
    static PlacementKey placementKey(SampleProgress sample) {
        return new PlacementKey(sample.mStep, service(sample));
    }

    /** Begins a round of decisions, in which no endpoint comes, goes or changes its pace. */
    void beginRound() {
        mPools.clear();
    }

    /** Returns the endpoint at which a sample should run now, if one has room. */
    Optional<Endpoint> choose(SampleProgress sample, long now) {
        Pool pool = pool(sample, now);
        double best = pool.bestPace();
        Endpoint choice = null;
        double least = Double.MAX_VALUE;
        for (Endpoint endpoint : pool.endpoints()) {
            boolean full = endpoint.activeRequests() >= mPlacement.concurrencyLimit(endpoint, best);
            if (full || !isFit(endpoint, sample, now)) {
                continue;
            }
            double cost = mPlacement.cost(endpoint, sample, best);
            if (cost < least) {
                least = cost;
                choice = endpoint;
            }
        }
        return Optional.ofNullable(choice);
    }

    /**
     * Returns an endpoint whose last known weight version is below the bound, when it is time to
     * try it again: records lag behind by a heartbeat, while an endpoint that still has the old
     * version refuses at once.
     */
    Optional<Endpoint> chooseOutdated(SampleProgress sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        if (step.model().isEmpty()) {
            return Optional.empty();
        }
        for (Endpoint endpoint : pool(sample, now).endpoints()) {
            boolean outdated = endpoint.version(step.model()) < step.minVersion();
            boolean room = endpoint.activeRequests() < endpoint.record().slots();
            if (outdated && room && !endpoint.isAvoided(now) && endpoint.startProbeIfDue(now)) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /** Notes that a sample was sent to an endpoint. */
    void onSent(Endpoint endpoint) {
        endpoint.onSent();
        mPlacement.onSent(endpoint);
    }

    private Pool pool(SampleProgress sample, long now) {
        return mPools.computeIfAbsent(
                service(sample),
                service -> {
                    List<Endpoint> serving = mFleet.serving(service);
                    return new Pool(serving, bestPace(serving, now));
                });
    }

    private static ServiceName service(SampleProgress sample) {
        List<WeightedService> services = sample.mStep.mRoute.services();
        ServiceName service = services.get(0).service();
        if (services.size() > 1) {
            int index = Math.floorMod(sample.mSpec.id().hashCode(), services.size());
            service = services.get(index).service();
        }
        return service;
    }

    private static boolean isFit(Endpoint endpoint, SampleProgress sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        boolean fresh =
                step.model().isEmpty() || endpoint.version(step.model()) >= step.minVersion();
        boolean same =
                !sample.mStep.mRoute.step().singleVersion()
                        || sample.mVersions.isEmpty()
                        || endpoint.version(step.model()) == sample.mVersions.get(0);
        return fresh && same && !endpoint.isAvoided(now) && !endpoint.isLoading();
    }

    private static double bestPace(List<Endpoint> endpoints, long now) {
        double best = 0;
        for (Endpoint endpoint : endpoints) {
            endpoint.expireLatency(now, PACE_AGE_NANOS);
            double pace = endpoint.latencyNanos();
            if (pace > 0 && (best == 0 || pace < best)) {
                best = pace;
            }
        }
        return best;
    }

    /** Returns why a running sample should move to another endpoint; empty if it should stay. */
    String migrationReason(SampleProgress sample, long now) {
        Endpoint endpoint = sample.mEndpoint;
        if (sample.mState != SampleProgress.State.RUNNING || endpoint == null) {
            return "";
        }
        long silent = now - sample.mLastEventAt;
        long allowed = sample.mRunEvents == 0 ? FIRST_EVENT_NANOS : SILENT_NANOS;
        if (silent > allowed && endpoint.silentNanos(now) > allowed) {
            endpoint.onFailure(now);
            return "endpoint is silent for " + Nanos.toMillis(silent) + " ms";
        }
        if (!mMoves) {
            return "";
        }
        // A run may wait in the endpoint's queue, or have given way to a more urgent one.
        if (silent > STALLED_NANOS && isElsewhereIdle(sample, now)) {
            return "stalled for " + Nanos.toMillis(silent) + " ms";
        }
        if (now - sample.mStartedAt < MIN_RUN_NANOS || sample.mRunEvents == 0) {
            return "";
        }
        Pool pool = pool(sample, now);
        double best = pool.bestPace();
        if (best == 0 || endpoint.latencyNanos() < SLOW_FACTOR * best) {
            return "";
        }
        for (Endpoint other : pool.endpoints()) {
            boolean room = other.activeRequests() < mPlacement.concurrencyLimit(other, best);
            if (SpeedProportionalPlacement.isFast(other, best)
                    && isFit(other, sample, now)
                    && room) {
                return "endpoint is slow: "
                        + Nanos.toMillis((long) endpoint.latencyNanos())
                        + " ms";
            }
        }
        return "";
    }

    private boolean isElsewhereIdle(SampleProgress sample, long now) {
        for (Endpoint other : pool(sample, now).endpoints()) {
            boolean idle = 2 * other.activeRequests() < other.record().slots();
            if (other != sample.mEndpoint && idle && isFit(other, sample, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the priority of a sample at its endpoint. */
    int priority(SampleProgress sample, long now) {
        if (sample.mRank == GroupRanking.SURPLUS) {
            return URGENCY_SPARE;
        }
        return sample.mStep.mDueAt - now < LATE_NANOS ? URGENCY_LATE : URGENCY_WANTED;
    }
}
