package org.ebonyrun.core.hedge;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * Hedges the calls that are slower than most calls of their route, within a limit on extra work.
 *
 * <p>Answers loads in which a few answers are much slower than the others while the service has
 * room. Under overload it sends nothing: hedged attempts would take room from first ones.
 *
 * <p>Invariant: the hedged attempts sent are at most the share of the answered calls (see {@link
 * ExtraWorkBudget}).
 *
 * <p>Not thread safe; confined to the event loop of its call machine.
 */
public final class QuantileHedging implements Hedging {
    private static final double MIN_QUANTILE = 0.75;
    private static final double MAX_QUANTILE = 0.99;
    private static final int MAX_HISTORIES = 256;
    private static final int MAX_SERVICES = 64;
    private static final long REJECTION_NANOS = Nanos.ofMillis(1_000);
    // Weight of the latest answer in the share of slow ones.
    private static final double SMOOTHING = 0.125;
    private static final double MAX_SLOW_SHARE = 0.5;

    /** A route's calls at one incarnation of an endpoint; at all endpoints if it is null. */
    private record Key(
            String route, ServiceName service, @Nullable String endpoint, long incarnation) {
        static Key of(String route, ServiceName service, @Nullable Endpoint endpoint) {
            return endpoint == null
                    ? new Key(route, service, null, 0)
                    : new Key(route, service, endpoint.id(), endpoint.record().incarnation());
        }
    }

    /** The latest ends of attempts at a service. */
    private static final class Recent {
        double mSlowShare;
        boolean mRejected;
        long mRejectedAt;
    }

    private final DoubleSupplier mShare;
    private final ExtraWorkBudget mBudget = new ExtraWorkBudget();
    private final Map<Key, LatencyHistory> mHistories = boundedMap(MAX_HISTORIES);
    private final Map<ServiceName, Recent> mRecent = boundedMap(MAX_SERVICES);

    /**
     * Creates a rule without observations.
     *
     * @param share supplies the operators' limit: extra runs for each answered call
     */
    public QuantileHedging(DoubleSupplier share) {
        mShare = share;
    }

    private static <K, V> Map<K, V> boundedMap(int capacity) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > capacity;
            }
        };
    }

    @Override
    public HedgeDecision decide(OpenCall call, long now) {
        HedgeDelay delay = delay(call, now);
        HedgeVerdict verdict =
                now - call.sentAt() < delay.nanos() ? HedgeVerdict.NOT_YET : verdict(call, now);
        return verdict == HedgeVerdict.SEND
                ? new HedgeDecision(
                        verdict, delay, List.of(HedgeScope.OTHER_DOMAIN, HedgeScope.UNTRIED))
                : HedgeDecision.not(verdict, delay);
    }

    private HedgeVerdict verdict(OpenCall call, long now) {
        if (!call.isIdempotent()) {
            return HedgeVerdict.MAY_NOT_REPEAT;
        }
        if (call.wasHedged() || !call.mayRunAgain()) {
            return HedgeVerdict.ATTEMPTS_USED;
        }
        if (call.hasCrashed()) {
            return HedgeVerdict.CRASHED;
        }
        boolean hasRun = call.isBackground() ? mBudget.hasRunBesidesReserve() : mBudget.hasRun();
        if (!hasRun) {
            return HedgeVerdict.EXTRA_WORK_USED;
        }
        if (isOverloaded(call.service(), now)) {
            return HedgeVerdict.SERVICE_BUSY;
        }
        ServiceUse use = call.use();
        if (use.limited()) {
            return HedgeVerdict.LIMITED;
        }
        return use.isBusy() ? HedgeVerdict.SERVICE_BUSY : HedgeVerdict.SEND;
    }

    private boolean isOverloaded(ServiceName service, long now) {
        Recent recent = mRecent.get(service);
        if (recent == null) {
            return false;
        }
        boolean rejected = recent.mRejected && now - recent.mRejectedAt < REJECTION_NANOS;
        return rejected || recent.mSlowShare > MAX_SLOW_SHARE;
    }

    private HedgeDelay delay(OpenCall call, long now) {
        Optional<HedgeDelay> service =
                quantile(call.route(), call.service(), null, HedgeDelay.Source.SERVICE, now);
        Optional<HedgeDelay> endpoint =
                quantile(
                        call.route(),
                        call.service(),
                        call.endpoint(),
                        HedgeDelay.Source.ENDPOINT,
                        now);
        // The service has at least the observations of each endpoint.
        if (service.isEmpty()) {
            return TargetHedging.delay(call);
        }
        return endpoint.filter(own -> own.nanos() < service.get().nanos()).orElse(service.get());
    }

    private Optional<HedgeDelay> quantile(
            String route,
            ServiceName service,
            @Nullable Endpoint endpoint,
            HedgeDelay.Source source,
            long now) {
        LatencyHistory history = mHistories.get(Key.of(route, service, endpoint));
        double q = Math.max(MIN_QUANTILE, Math.min(MAX_QUANTILE, 1 - mShare.getAsDouble()));
        return history == null ? Optional.empty() : history.quantile(q, source, now);
    }

    @Override
    public boolean timesEachAttempt() {
        return true;
    }

    @Override
    public void onHedgeSent() {
        mBudget.spend();
    }

    @Override
    public void onLatency(
            String route, ServiceName service, Endpoint endpoint, long nanos, long now) {
        boolean slow =
                quantile(route, service, null, HedgeDelay.Source.SERVICE, now)
                        .filter(delay -> nanos >= delay.nanos())
                        .isPresent();
        Recent recent = mRecent.computeIfAbsent(service, key -> new Recent());
        recent.mSlowShare += SMOOTHING * ((slow ? 1 : 0) - recent.mSlowShare);
        history(Key.of(route, service, null), now).add(nanos, now);
        history(Key.of(route, service, endpoint), now).add(nanos, now);
    }

    private LatencyHistory history(Key key, long now) {
        return mHistories.computeIfAbsent(key, unused -> new LatencyHistory(now));
    }

    @Override
    public void onRejected(ServiceName service, long now) {
        Recent recent = mRecent.computeIfAbsent(service, key -> new Recent());
        recent.mRejected = true;
        recent.mRejectedAt = now;
    }

    @Override
    public void onCallAnswered() {
        mBudget.onAnswered(mShare.getAsDouble());
    }
}
