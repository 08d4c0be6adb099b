package org.ebonyrun.core.step;

import java.util.List;
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
 * silent: an endpoint gets samples in proportion to its pace, and a sample leaves an endpoint that
 * has fallen behind when a fast one has room.
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

    private final Fleet mFleet;

    SampleScheduler(Fleet fleet) {
        mFleet = fleet;
    }

    /** Returns the endpoint at which a sample should run now, if one has room. */
    Optional<Endpoint> choose(SampleRun sample, long now) {
        List<Endpoint> serving = serving(sample);
        double best = bestPace(serving, now);
        Endpoint choice = null;
        double least = Double.MAX_VALUE;
        for (Endpoint endpoint : serving) {
            if (!isFit(endpoint, sample, now) || endpoint.active() >= room(endpoint, best)) {
                continue;
            }
            double cost = cost(endpoint, sample, best);
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
    Optional<Endpoint> chooseOutdated(SampleRun sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        if (step.model().isEmpty()) {
            return Optional.empty();
        }
        for (Endpoint endpoint : serving(sample)) {
            boolean outdated = endpoint.version(step.model()) < step.minVersion();
            boolean room = endpoint.active() < endpoint.record().slots();
            if (outdated && room && !endpoint.isAvoided(now) && endpoint.tryAt(now)) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private List<Endpoint> serving(SampleRun sample) {
        List<WeightedService> services = sample.mStep.mRoute.services();
        ServiceName service = services.get(0).service();
        if (services.size() > 1) {
            int index = Math.floorMod(sample.mSpec.id().hashCode(), services.size());
            service = services.get(index).service();
        }
        return mFleet.serving(service);
    }

    private static boolean isFit(Endpoint endpoint, SampleRun sample, long now) {
        StepSpec step = sample.mStep.mSpec;
        boolean fresh =
                step.model().isEmpty() || endpoint.version(step.model()) >= step.minVersion();
        boolean same =
                !sample.mStep.mRoute.step().singleVersion()
                        || sample.mVersions.isEmpty()
                        || endpoint.version(step.model()) == sample.mVersions.get(0);
        return fresh && same && !endpoint.isAvoided(now) && !endpoint.isLoading();
    }

    private static int room(Endpoint endpoint, double bestPace) {
        int slots = endpoint.record().slots();
        if (endpoint.paceNanos() == 0 || bestPace == 0) {
            return slots;
        }
        double share = Math.min(1, 1.3 * bestPace / endpoint.paceNanos());
        return Math.max(1, (int) Math.round(share * slots));
    }

    private static double cost(Endpoint endpoint, SampleRun sample, double bestPace) {
        double pace = endpoint.paceNanos() == 0 ? 1 : endpoint.paceNanos() / Math.max(1, bestPace);
        double cost = (endpoint.active() + 1.0) / endpoint.record().slots() * Math.max(1, pace);
        return endpoint.id().equals(sample.mAvoid) ? cost + 1 : cost;
    }

    private static double bestPace(List<Endpoint> endpoints, long now) {
        double best = 0;
        for (Endpoint endpoint : endpoints) {
            endpoint.agePace(now, PACE_AGE_NANOS);
            double pace = endpoint.paceNanos();
            if (pace > 0 && (best == 0 || pace < best)) {
                best = pace;
            }
        }
        return best;
    }

    /** Returns why a running sample should move to another endpoint; empty if it should stay. */
    String reasonToMove(SampleRun sample, long now) {
        Endpoint endpoint = sample.mEndpoint;
        if (sample.mState != SampleRun.State.RUNNING || endpoint == null) {
            return "";
        }
        long silent = now - sample.mLastEventAt;
        long allowed = sample.mRunEvents == 0 ? FIRST_EVENT_NANOS : SILENT_NANOS;
        if (silent > allowed && endpoint.silentNanos(now) > allowed) {
            endpoint.onFailure(now);
            return "endpoint is silent for " + Nanos.toMillis(silent) + " ms";
        }
        // A run may wait in the endpoint's queue, or have given way to a more urgent one.
        if (silent > STALLED_NANOS && isElsewhereIdle(sample, now)) {
            return "stalled for " + Nanos.toMillis(silent) + " ms";
        }
        if (now - sample.mStartedAt < MIN_RUN_NANOS || sample.mRunEvents == 0) {
            return "";
        }
        List<Endpoint> serving = serving(sample);
        double best = bestPace(serving, now);
        if (best == 0 || endpoint.paceNanos() < SLOW_FACTOR * best) {
            return "";
        }
        for (Endpoint other : serving) {
            boolean fast = other.paceNanos() > 0 && other.paceNanos() < 1.3 * best;
            if (fast && isFit(other, sample, now) && other.active() < room(other, best)) {
                return "endpoint is slow: " + Nanos.toMillis((long) endpoint.paceNanos()) + " ms";
            }
        }
        return "";
    }

    private boolean isElsewhereIdle(SampleRun sample, long now) {
        for (Endpoint other : serving(sample)) {
            boolean idle = 2 * other.active() < other.record().slots();
            if (other != sample.mEndpoint && idle && isFit(other, sample, now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the priority of a sample at its endpoint. */
    int urgency(SampleRun sample, long now) {
        if (sample.mRank == GroupOrder.SPARE) {
            return URGENCY_SPARE;
        }
        return sample.mStep.mDueAt - now < LATE_NANOS ? URGENCY_LATE : URGENCY_WANTED;
    }
}
