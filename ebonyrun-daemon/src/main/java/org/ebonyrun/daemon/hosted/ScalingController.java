package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.WeightedService;
import org.ebonyrun.core.scaling.EntryLoads;
import org.ebonyrun.core.scaling.ScalingBounds;
import org.ebonyrun.core.scaling.ScalingFigures;
import org.ebonyrun.core.scaling.ScalingOrder;
import org.ebonyrun.core.scaling.ServiceDemand;
import org.ebonyrun.core.scaling.ServiceScaler;
import org.ebonyrun.core.scaling.StepForecast;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.duty.DutyReply;
import org.ebonyrun.ports.duty.EndpointTarget;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Orders endpoints of the services that are scaled, while this entry holds the duties.
 *
 * <p>Invariants: no order is sent before the end of the term's quiet time, after its release, or
 * after a reply that a higher fence has been seen; a service has at most one order without a reply
 * in each failure domain; at most {@value #MAX_ORDERS_PER_SECOND} orders a second are sent.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ScalingController implements Duty {
    static final int MAX_ORDERS_PER_SECOND = 2;

    private static final long DECIDE_NANOS = Nanos.PER_SECOND;
    private static final long MIN_READ_NANOS = Nanos.ofMillis(2_000);
    // Bounds what is read a second, whatever the number of entries.
    private static final long READ_NANOS_PER_ENTRY = Nanos.ofMillis(10);

    private static final class Service {
        final ServiceScaler mScaler;
        final ServiceDemand mDemand = new ServiceDemand();
        double mSlots;

        Service(ScalingBounds bounds) {
            mScaler = new ServiceScaler(bounds);
        }
    }

    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final Fleet mFleet;
    private final DutyApi mApi;
    private final MonotonicClock mClock;
    private final SortedMap<ServiceName, Service> mServices = new TreeMap<>();
    private final StepForecast mForecast = new StepForecast();
    private EntryLoads mLoads = new EntryLoads();
    private @Nullable DutyTerm mTerm;
    private boolean mReading;
    private long mReadAt;
    private long mDecidedAt;
    // The service whose orders go first next time, so that no service holds another one up.
    private int mFirst;

    ScalingController(
            HostedContext context,
            SharedStore sharedStore,
            Fleet fleet,
            DutyApi api,
            MonotonicClock clock) {
        mContext = context;
        mSharedStore = sharedStore;
        mFleet = fleet;
        mApi = api;
        mClock = clock;
    }

    /** Applies the bounds of a configuration; services without bounds are left as they are. */
    void onConfigured(Map<ServiceName, ScalingBounds> scaling) {
        mServices.keySet().retainAll(scaling.keySet());
        scaling.forEach(
                (service, bounds) ->
                        mServices
                                .computeIfAbsent(service, name -> new Service(bounds))
                                .mScaler
                                .setBounds(bounds));
    }

    /** Handles a step that was submitted at any entry. */
    void onStep(StepManifest manifest, long now) {
        if (!mServices.isEmpty()) {
            mContext.routeOf(manifest).ifPresent(route -> onStep(manifest, route, now));
        }
    }

    private void onStep(StepManifest manifest, Route route, long now) {
        int totalWeight = route.services().stream().mapToInt(WeightedService::weight).sum();
        for (WeightedService weighted : route.services()) {
            double share = totalWeight > 0 ? (double) weighted.weight() / totalWeight : 1;
            int samples = (int) Math.ceil(share * manifest.samples());
            if (samples > 0) {
                String trainer =
                        String.join(
                                " ",
                                manifest.host(),
                                manifest.prefix(),
                                manifest.model(),
                                weighted.service().value());
                mForecast.onStep(
                        new StepForecast.SubmittedStep(
                                trainer,
                                weighted.service(),
                                manifest.number(),
                                samples,
                                manifest.acceptedAt(),
                                Math.max(1, route.step().dueMillis())),
                        now);
            }
        }
    }

    @Override
    public void onAcquired(DutyTerm term, long now) {
        mTerm = term;
        mLoads = new EntryLoads();
        mReadAt = now - MIN_READ_NANOS;
        mDecidedAt = now;
        mServices.values().forEach(service -> service.mScaler.onTerm());
    }

    @Override
    public void onReleased() {
        mTerm = null;
    }

    @Override
    public void onTick(long now) {
        DutyTerm term = mTerm;
        if (term == null || mServices.isEmpty()) {
            return;
        }
        if (!mReading && now - mReadAt >= readNanos()) {
            readLoads(now);
        }
        if (now - mDecidedAt >= DECIDE_NANOS) {
            mDecidedAt = now;
            mServices.forEach((name, service) -> observe(name, service, now));
            if (now - term.quietUntil() >= 0) {
                sendOrders(term, now);
            }
        }
    }

    private long readNanos() {
        return Math.max(MIN_READ_NANOS, mLoads.size() * READ_NANOS_PER_ENTRY);
    }

    private void readLoads(long now) {
        mReading = true;
        mReadAt = now;
        StorePages.readAll(mSharedStore, StoreKeys.LOADS_PREFIX)
                .thenAcceptAsync(mContext.callback(this::onLoadsRead), mContext.executor());
    }

    private void onLoadsRead(Result<StorePage> result) {
        mReading = false;
        result.fold(
                page -> {
                    applyLoads(page.items());
                    return true;
                },
                fault -> false);
    }

    private void applyLoads(List<StoreItem> items) {
        long now = mClock.nanoTime();
        List<EntryLoads.Report> reports = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        for (StoreItem item : items) {
            String entry = item.key().substring(StoreKeys.LOADS_PREFIX.length());
            try {
                reports.add(
                        new EntryLoads.Report(
                                entry, item.revision(), LoadCodec.decode(item.value())));
            } catch (IllegalArgumentException e) {
                unreadable.add(entry);
            }
        }
        if (!unreadable.isEmpty()) {
            mContext.log()
                    .write(
                            LogLine.of("scaling.loads_unreadable")
                                    .with("count", unreadable.size())
                                    .with("first", unreadable.iterator().next()));
        }
        mLoads.onRead(reports, unreadable, now);
        if (mTerm != null) {
            removeExpired(now);
        }
    }

    private void removeExpired(long now) {
        Transaction.Builder removal = Transaction.builder();
        List<String> expired = mLoads.expired(now);
        int count = Math.min(expired.size(), Transaction.MAX_ENTRIES);
        expired.subList(0, count).forEach(entry -> removal.remove(StoreKeys.loadKey(entry)));
        if (count > 0) {
            mSharedStore.commit(removal.build());
            mContext.log().write(LogLine.of("scaling.loads_removed").with("count", count));
        }
    }

    private void observe(ServiceName name, Service service, long now) {
        SortedMap<FailureDomain, Integer> serving = new TreeMap<>();
        int slots = 0;
        List<Endpoint> endpoints = mFleet.serving(name);
        for (Endpoint endpoint : endpoints) {
            serving.merge(endpoint.record().domain(), 1, Integer::sum);
            slots += endpoint.record().slots();
        }
        if (!endpoints.isEmpty()) {
            service.mSlots = (double) slots / endpoints.size();
        }
        if (service.mSlots > 0) {
            double demand = service.mDemand.estimate(mLoads.total(name), mForecast, name, now);
            service.mScaler.onFigures(
                    new ScalingFigures(demand, isComplete(now), service.mSlots, serving), now);
        }
    }

    private boolean isComplete(long now) {
        return mLoads.isComplete(now) && !mContext.storeHealth().isUnavailable();
    }

    private void sendOrders(DutyTerm term, long now) {
        List<ServiceName> names = new ArrayList<>(mServices.keySet());
        int left = MAX_ORDERS_PER_SECOND;
        for (int i = 0; i < names.size() && left > 0; i++) {
            ServiceName name = names.get((mFirst + i) % names.size());
            for (ScalingOrder order : mServices.get(name).mScaler.orders(now)) {
                if (left > 0) {
                    left--;
                    send(term, name, order, now);
                }
            }
        }
        mFirst = (mFirst + 1) % names.size();
    }

    private void send(DutyTerm term, ServiceName name, ScalingOrder order, long now) {
        mServices.get(name).mScaler.onSent(order, now);
        LogLine line =
                LogLine.of("scaling.order")
                        .with("service", name)
                        .with("domain", order.domain())
                        .with("from", order.from())
                        .with("to", order.to())
                        .with("why", order.reason())
                        .with("serving", order.serving())
                        .with("demand", String.format(Locale.ROOT, "%.1f", order.demand()))
                        .with("entries", mLoads.size())
                        .with("complete", isComplete(now))
                        .with("age_ms", Nanos.toMillis(mLoads.oldestNanos(now)))
                        .with("fence", term.fence());
        mApi.orderEndpoints(term.fence(), new EndpointTarget(name, order.domain(), order.to()))
                .thenAcceptAsync(
                        mContext.callback(reply -> onReply(term, name, order, reply, line, now)),
                        mContext.executor());
    }

    private void onReply(
            DutyTerm term,
            ServiceName name,
            ScalingOrder order,
            DutyReply reply,
            LogLine line,
            long sentAt) {
        long now = mClock.nanoTime();
        mContext.log().write(line.with("reply", reply).with("ms", Nanos.toMillis(now - sentAt)));
        mContext.metrics().count(EntryMetrics.SCALING_ORDERS, order.reason() + " " + reply);
        Service service = mServices.get(name);
        if (!term.equals(mTerm) || service == null) {
            return;
        }
        switch (reply) {
            case DONE -> service.mScaler.onDone(order.domain());
            case UNKNOWN -> service.mScaler.onUnanswered(order.domain(), now);
            case REFUSED -> service.mScaler.onRefused(order.domain(), now);
            default -> mTerm = null;
        }
    }

    /** Returns the gauges of a holder with scaled services, by metric name. */
    Map<String, Double> gauges() {
        Map<String, Double> gauges = new HashMap<>();
        if (mTerm == null) {
            return gauges;
        }
        double wanted = 0;
        double serving = 0;
        double demand = 0;
        for (Map.Entry<ServiceName, Service> entry : mServices.entrySet()) {
            ServiceScaler scaler = entry.getValue().mScaler;
            wanted += scaler.counts().values().stream().mapToInt(count -> count).sum();
            serving += mFleet.serving(entry.getKey()).size();
            demand += scaler.demand();
        }
        if (!mServices.isEmpty()) {
            gauges.put("ebonyrun_entry_scaling_ordered", wanted);
            gauges.put("ebonyrun_entry_scaling_present", serving);
            gauges.put("ebonyrun_entry_scaling_demand_places", demand);
        }
        return gauges;
    }
}
