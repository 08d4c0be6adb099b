package org.ebonyrun.core.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.RequestKind;
import org.ebonyrun.core.route.WeightedService;
import org.jspecify.annotations.Nullable;

/**
 * Chooses endpoints for samples and decides when a running sample migrates to another endpoint.
 *
 * <p>Designed for pools in which some endpoints are several times slower than others or do not
 * respond: a sample for which its group waits migrates from a slow endpoint when a fast one has
 * free capacity, and each free place draws one sample. The endpoints of a service are looked up
 * once per scheduling round, however many samples wait.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class SampleScheduler {
    private static final long FIRST_EVENT_TIMEOUT_NANOS = Nanos.ofMillis(1_500);
    private static final long EVENT_TIMEOUT_NANOS = Nanos.ofMillis(1_000);
    private static final long STALL_TIMEOUT_NANOS = Nanos.ofMillis(2_500);
    // How long a sample with text waits for an endpoint that can go on with it.
    private static final long MAX_WAIT_TO_GO_ON_NANOS = Nanos.ofMillis(1_000);
    private static final long MIN_RUN_BEFORE_MIGRATION_NANOS = Nanos.ofMillis(600);
    private static final long MAX_LATENCY_AGE_NANOS = Nanos.ofMillis(2_500);
    // Samples migrate from an endpoint whose latency is at least this multiple of the lowest one.
    private static final double SLOW_FACTOR = 2.0;
    private static final int PRIORITY_DUE_SOON = 2;
    private static final int PRIORITY_WANTED = 4;
    private static final int PRIORITY_SURPLUS = 6;
    private static final long DUE_SOON_NANOS = Nanos.ofMillis(3_000);

    /** The step and the service of a sample that needs an endpoint. */
    record PlacementKey(StepProgress step, ServiceName service) {}

    /**
     * The endpoints of one service in one scheduling round.
     *
     * @param bestLatency the lowest time between two events at any of them, in nanoseconds; zero if
     *     unknown
     */
    private record Pool(List<Endpoint> endpoints, double bestLatency) {}

    private final Fleet mFleet;
    private final SamplePlacement mPlacement;
    private final boolean mMigratesFromSlow;
    private final Map<ServiceName, Pool> mPools = new HashMap<>();
    private final Map<Endpoint, Integer> mMigrationTargets = new HashMap<>();
    private final GroupForecast mForecast;
    private final MigrationGain mGain;

    /**
     * Creates a scheduler.
     *
     * @param forecast receives what runs show
     * @param migratesFromSlow whether samples also migrate from endpoints that are slow or that
     *     stall a run; samples of an endpoint that stops responding always migrate
     */
    SampleScheduler(
            Fleet fleet,
            SamplePlacement placement,
            GroupForecast forecast,
            boolean migratesFromSlow) {
        mFleet = fleet;
        mPlacement = placement;
        mForecast = forecast;
        mGain = new MigrationGain(forecast);
        mMigratesFromSlow = migratesFromSlow;
    }

    /** Returns the step and the service of a sample. */
    static PlacementKey placementKey(SampleProgress sample) {
        return new PlacementKey(sample.mStep, service(sample));
    }

    /**
     * Starts a scheduling round. Endpoints and their latencies are cached per service until the
     * next one.
     */
    void beginRound() {
        mPools.clear();
        mMigrationTargets.clear();
    }

    /** Handles the first event of a sample's run. */
    void onFirstEvent(SampleProgress sample, long now) {
        mForecast.statistics(sample).onStarted(now - sample.mStartedAt);
    }

    /** Handles the end of a sample's text. */
    void onTextComplete(SampleProgress sample) {
        mForecast
                .statistics(sample)
                .onComplete(sample.mSpec.expectedTokens(), sample.mEvents.size());
    }

    /** Returns the eligible endpoint with free capacity at which a sample costs least, if any. */
    Optional<Endpoint> choose(SampleProgress sample, long now) {
        return choose(sample, sample::canGoOnAt, now);
    }

    /**
     * Returns why a sample that found no endpoint should discard its text and begin again: another
     * endpoint would take it, while none can go on with it, or those that can have had no room for
     * too long. Empty if it should wait.
     */
    String restartReason(SampleProgress sample, long now) {
        if (sample.mEvents.isEmpty()) {
            return "";
        }
        boolean serves = pool(sample, now).endpoints().stream().anyMatch(sample::canGoOnAt);
        long waited = now - sample.mNotBefore;
        boolean waits = serves && waited < MAX_WAIT_TO_GO_ON_NANOS;
        if (waits || choose(sample, endpoint -> true, now).isEmpty()) {
            return "";
        }
        return serves
                ? "no endpoint that can go on had room for " + Nanos.toMillis(waited) + " ms"
                : "no endpoint has the software and the weight version of the text";
    }

    private Optional<Endpoint> choose(SampleProgress sample, Predicate<Endpoint> filter, long now) {
        Pool pool = pool(sample, now);
        double bestLatency = pool.bestLatency();
        Endpoint choice = null;
        double leastCost = Double.MAX_VALUE;
        List<Endpoint> notAdmitted = new ArrayList<>();
        for (Endpoint endpoint : pool.endpoints()) {
            boolean full =
                    endpoint.activeRequests() >= mPlacement.concurrencyLimit(endpoint, bestLatency);
            if (full || !filter.test(endpoint) || !isSuitable(endpoint, sample, now)) {
                continue;
            }
            if (!endpoint.admits(RequestKind.WORK, now)) {
                notAdmitted.add(endpoint);
                continue;
            }
            double cost = mPlacement.cost(endpoint, sample, bestLatency);
            if (cost < leastCost) {
                leastCost = cost;
                choice = endpoint;
            }
        }
        if (choice == null) {
            notAdmitted.forEach(endpoint -> endpoint.onWaiting(RequestKind.WORK, now));
        }
        return Optional.ofNullable(choice);
    }

    /**
     * Returns an endpoint to probe whose last known weight version is below the step's minimum. The
     * version in an endpoint's record lags behind by up to a heartbeat, and an endpoint that still
     * serves the old version rejects the run at once. Probes of an endpoint are limited in rate,
     * and an endpoint that limits its requests gets none.
     */
    Optional<Endpoint> chooseOutdated(SampleProgress sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        if (step.model().isEmpty()) {
            return Optional.empty();
        }
        for (Endpoint endpoint : pool(sample, now).endpoints()) {
            boolean outdated = endpoint.version(step.model()) < step.minVersion();
            boolean hasFreeSlot = endpoint.activeRequests() < endpoint.record().slots();
            // The response to a second try of the same sample needs a connection of its own.
            if (outdated
                    && hasFreeSlot
                    && !sample.isRejectedBy(endpoint)
                    && sample.hasOriginOf(endpoint)
                    && !endpoint.isLimited()
                    && !endpoint.isAvoided(now)
                    && endpoint.startProbeIfDue(now)) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /** Records that a sample was sent to an endpoint. */
    void onSent(Endpoint endpoint, long now) {
        endpoint.onSent(now);
        mPlacement.onSent(endpoint);
    }

    private Pool pool(SampleProgress sample, long now) {
        return mPools.computeIfAbsent(
                service(sample),
                service -> {
                    List<Endpoint> serving = mFleet.serving(service);
                    return new Pool(serving, bestLatency(serving, now));
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

    /** Returns whether a sample may migrate to an endpoint that has free capacity. */
    private static boolean isEligible(Endpoint endpoint, SampleProgress sample, long now) {
        return sample.canGoOnAt(endpoint)
                && isSuitable(endpoint, sample, now)
                && endpoint.admits(RequestKind.WORK, now);
    }

    /** Returns whether an endpoint may run a sample, apart from the text that the sample has. */
    private static boolean isSuitable(Endpoint endpoint, SampleProgress sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        boolean recent =
                step.model().isEmpty() || endpoint.version(step.model()) >= step.minVersion();
        return recent && !endpoint.isAvoided(now) && !endpoint.isLoading();
    }

    private static double bestLatency(List<Endpoint> endpoints, long now) {
        double best = 0;
        for (Endpoint endpoint : endpoints) {
            endpoint.expireLatency(now, MAX_LATENCY_AGE_NANOS);
            double latency = endpoint.latencyNanos();
            if (latency > 0 && (best == 0 || latency < best)) {
                best = latency;
            }
        }
        return best;
    }

    /**
     * Returns why a running sample should migrate to another endpoint; empty if it should stay. If
     * its endpoint has stopped responding, records a failure of the endpoint.
     */
    String migrationReason(SampleProgress sample, long now) {
        Endpoint endpoint = sample.mEndpoint;
        if (sample.mState != SampleProgress.State.RUNNING || endpoint == null) {
            return "";
        }
        long silent = now - sample.mLastEventAt;
        long timeout = sample.mRunEvents == 0 ? FIRST_EVENT_TIMEOUT_NANOS : EVENT_TIMEOUT_NANOS;
        if (silent > timeout && endpoint.silentNanos(now) > timeout) {
            endpoint.onFailure(now);
            return "endpoint is silent for " + Nanos.toMillis(silent) + " ms";
        }
        if (!mMigratesFromSlow) {
            return "";
        }
        // The endpoint may have queued the run or preempted it for one of higher priority.
        if (silent > STALL_TIMEOUT_NANOS && isOtherEndpointIdle(sample, now)) {
            return "stalled for " + Nanos.toMillis(silent) + " ms";
        }
        if (now - sample.mStartedAt < MIN_RUN_BEFORE_MIGRATION_NANOS || sample.mRunEvents == 0) {
            return "";
        }
        Pool pool = pool(sample, now);
        double bestLatency = pool.bestLatency();
        if (bestLatency == 0 || endpoint.latencyNanos() < SLOW_FACTOR * bestLatency) {
            return "";
        }
        Endpoint target = fastEndpointWithCapacity(sample, pool, now);
        if (target == null) {
            return "";
        }
        double gain = mGain.gainNanos(sample, target.latencyNanos());
        if (gain == 0) {
            return "";
        }
        mMigrationTargets.merge(target, 1, Integer::sum);
        return "endpoint is slow: "
                + Nanos.toMillis((long) endpoint.latencyNanos())
                + " ms, migrating gains "
                + Nanos.toMillis((long) gain)
                + " ms";
    }

    private @Nullable Endpoint fastEndpointWithCapacity(
            SampleProgress sample, Pool pool, long now) {
        for (Endpoint other : pool.endpoints()) {
            int active = other.activeRequests() + mMigrationTargets.getOrDefault(other, 0);
            if (SpeedProportionalPlacement.isFast(other, pool.bestLatency())
                    && active < mPlacement.concurrencyLimit(other, pool.bestLatency())
                    && isEligible(other, sample, now)) {
                return other;
            }
        }
        return null;
    }

    private boolean isOtherEndpointIdle(SampleProgress sample, long now) {
        for (Endpoint other : pool(sample, now).endpoints()) {
            boolean idle = 2 * other.activeRequests() < other.record().slots();
            if (other != sample.mEndpoint && idle && isEligible(other, sample, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the priority of a sample's run at its endpoint; lower values run first. */
    int priority(SampleProgress sample, long now) {
        if (sample.mRank == GroupRanking.SURPLUS) {
            return PRIORITY_SURPLUS;
        }
        return sample.mStep.mDueAt - now < DUE_SOON_NANOS ? PRIORITY_DUE_SOON : PRIORITY_WANTED;
    }
}
