package org.ebonyrun.core.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the limits of endpoints over all entries: divides each limit into permits, which exist once
 * in the shared store, and acquires those that this process needs.
 *
 * <p>Designed for services whose endpoints take only a few requests per second while many entries
 * have calls for them, and for steps whose samples all come from one entry. A process therefore
 * acquires permits by demand, keeps them while it uses them, and gives up what exceeds its share,
 * or passes permits on in turn, while other processes wait. Those that wait get permits in the
 * order in which they began to wait.
 *
 * <p>Work proceeds in rounds, one at a time per service: read the table of permits, decide, commit
 * the change. There are no rounds while nothing is limited, or nothing wanted and nothing held.
 *
 * <p>Invariants: a permit is used only while the store has it for this process, or while the store
 * is unavailable (see {@link LimitedEndpoint}); a permit is released only when it is usable, so
 * that its next holder keeps its period.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class PermitMachine {
    private static final long MIN_INTERVAL_NANOS = Nanos.ofMillis(100);
    private static final long MAX_INTERVAL_NANOS = Nanos.ofMillis(800);
    // For processes that get the permits that are released next.
    private static final long NEXT_INTERVAL_NANOS = Nanos.ofMillis(300);
    // A write that got no response may take effect this much later.
    private static final long LATE_WRITE_NANOS = Nanos.ofMillis(8_000);
    private static final int MAX_CHANGES = 8;
    // Above this number, endpoints without a record are forgotten.
    private static final int MAX_ENDPOINTS = 1_024;
    // How long a request that waits keeps up the demand for more permits. A process that holds none
    // refuses callers at once, so it must want one until they come back.
    private static final long DEMAND_NANOS = Nanos.ofMillis(500);
    private static final long FIRST_DEMAND_NANOS = Nanos.ofMillis(5_000);

    /** The rounds of one service. */
    private static final class Rounds {
        boolean mOpen;
        long mEndedAt;
        long mNextAt;
        long mIntervalNanos = MIN_INTERVAL_NANOS;
        boolean mMayHoldKeys;
        boolean mUncertain;
        long mUncertainSince;
        @Nullable PermitChange mChange;
    }

    private final String mSelf;
    private final Fleet mFleet;
    private final PermitOutputs mOutputs;
    private final Supplier<PermitTimings> mTimings;
    private final Random mRandom;
    private final Map<String, LimitedEndpoint> mEndpoints = new TreeMap<>();
    private final Map<ServiceName, Rounds> mRounds = new HashMap<>();

    private PermitMachine(
            String self,
            Fleet fleet,
            PermitOutputs outputs,
            Supplier<PermitTimings> timings,
            Random random) {
        mSelf = self;
        mTimings = timings;
        mFleet = fleet;
        mOutputs = outputs;
        mRandom = random;
    }

    /**
     * Creates a machine that knows no limit.
     *
     * @param self the name of this process, unique among all that ever run
     * @param timings supplies the timings of the deployment
     */
    public static PermitMachine create(
            String self,
            Fleet fleet,
            PermitOutputs outputs,
            Supplier<PermitTimings> timings,
            Random random) {
        return new PermitMachine(self, fleet, outputs, timings, random);
    }

    /** Handles a limit that an endpoint named, changed or ended. */
    public void onLimitChanged(Endpoint endpoint, long now) {
        if (!endpoint.isLimited()) {
            mEndpoints.remove(endpoint.id());
            endpoint.setGate(null);
            return;
        }
        PermitTerms terms = new PermitTerms(endpoint.requestsPerSecond());
        LimitedEndpoint limited = mEndpoints.get(endpoint.id());
        if (limited != null && limited.endpoint() == endpoint) {
            limited.setTerms(terms);
            return;
        }
        ServiceName service = endpoint.record().service();
        Rounds rounds = mRounds.computeIfAbsent(service, name -> new Rounds());
        limited = new LimitedEndpoint(endpoint, terms, mOutputs, () -> onDemand(rounds));
        mEndpoints.put(endpoint.id(), limited);
        endpoint.setGate(limited);
    }

    /** Schedules the next round soon, unless the last one was just now. */
    private void onDemand(Rounds rounds) {
        if (rounds.mIntervalNanos >= MAX_INTERVAL_NANOS && !rounds.mOpen) {
            rounds.mIntervalNanos = MIN_INTERVAL_NANOS;
            rounds.mNextAt = rounds.mEndedAt + MIN_INTERVAL_NANOS;
        }
    }

    /** Returns the number of permits that this process holds. */
    public int permitCount() {
        return mEndpoints.values().stream().mapToInt(endpoint -> endpoint.held().size()).sum();
    }

    /** Returns the number of services of which this process keeps a state. */
    int serviceCount() {
        return mRounds.size();
    }

    /** Returns whether this process has or may have permits in the store, or wants some. */
    public boolean needsLease() {
        return mRounds.values().stream().anyMatch(rounds -> rounds.mOpen || rounds.mMayHoldKeys);
    }

    /** Handles the loss of the lease to which the permits were attached. */
    public void onLeaseLost() {
        mEndpoints.values().forEach(endpoint -> endpoint.held().clear());
    }

    /** Starts the rounds that are due. */
    public void onTick(long now) {
        if (mEndpoints.isEmpty() && mRounds.isEmpty()) {
            return;
        }
        if (mEndpoints.size() > MAX_ENDPOINTS) {
            mEndpoints.values().removeIf(limited -> isGone(limited.endpoint()));
        }
        mRounds.entrySet().removeIf(entry -> isOver(entry.getKey(), entry.getValue(), now));
        for (Map.Entry<ServiceName, Rounds> entry : mRounds.entrySet()) {
            Rounds rounds = entry.getValue();
            boolean uncertain = isUncertain(rounds, now);
            boolean due = !rounds.mOpen && now - rounds.mNextAt >= 0;
            boolean needed = rounds.mMayHoldKeys || uncertain || isWanted(entry.getKey(), now);
            if (due && needed && mOutputs.isStoreAvailable()) {
                rounds.mOpen = true;
                mOutputs.readTable(entry.getKey());
            }
        }
    }

    private static boolean isUncertain(Rounds rounds, long now) {
        return rounds.mUncertain && now - rounds.mUncertainSince < LATE_WRITE_NANOS;
    }

    /** Returns whether a service has no limited endpoint and this process no key for it. */
    private boolean isOver(ServiceName service, Rounds rounds, long now) {
        boolean idle = !rounds.mOpen && !rounds.mMayHoldKeys && !isUncertain(rounds, now);
        return idle
                && mEndpoints.values().stream()
                        .noneMatch(e -> e.endpoint().record().service().equals(service));
    }

    private boolean isGone(Endpoint endpoint) {
        return mFleet.get(endpoint.id()) != endpoint;
    }

    private List<LimitedEndpoint> limited(ServiceName service) {
        List<LimitedEndpoint> limited = new ArrayList<>();
        for (LimitedEndpoint endpoint : mEndpoints.values()) {
            boolean ofService = endpoint.endpoint().record().service().equals(service);
            if (ofService && !isGone(endpoint.endpoint())) {
                limited.add(endpoint);
            }
        }
        return limited;
    }

    private boolean isWanted(ServiceName service, long now) {
        List<LimitedEndpoint> limited = limited(service);
        long nanos = demandNanos(limited);
        return limited.stream().anyMatch(endpoint -> endpoint.isWanted(nanos, now));
    }

    private static long demandNanos(List<LimitedEndpoint> limited) {
        return heldCount(limited) == 0 ? FIRST_DEMAND_NANOS : DEMAND_NANOS;
    }

    private static int heldCount(List<LimitedEndpoint> limited) {
        return limited.stream().mapToInt(endpoint -> endpoint.held().size()).sum();
    }

    /** Handles the table of permits of a service: decides what to acquire and to release. */
    public void onTable(ServiceName service, PermitTable table, long now) {
        Rounds rounds = mRounds.get(service);
        if (rounds == null || !rounds.mOpen) {
            return;
        }
        List<LimitedEndpoint> limited = limited(service);
        limited.forEach(endpoint -> adoptHeld(endpoint, table, now));
        Set<String> claimants = new HashSet<>(table.waiting());
        table.permits().forEach(permit -> claimants.add(permit.holder()));
        claimants.add(mSelf);
        boolean othersWait = table.waiting().stream().anyMatch(name -> !name.equals(mSelf));
        int total = limited.stream().mapToInt(endpoint -> endpoint.terms().permits()).sum();
        int share = Math.max(1, total / claimants.size());
        boolean tooFew = total < claimants.size();

        List<Permit> released = released(limited, table, share, othersWait, tooFew, now);
        int held = heldCount(limited);
        List<Permit> free = freePermits(limited, table, now);
        for (LimitedEndpoint endpoint : limited) {
            String id = endpoint.endpoint().id();
            endpoint.onRound(isExhausted(endpoint, table, id), claimants.size());
        }
        int wanted = Math.min(Math.max(1, held), (free.size() + 1) / 2);
        int position = table.waiting().indexOf(mSelf);
        int before = position < 0 ? table.waiting().size() : position;
        if (othersWait) {
            wanted = Math.min(wanted, Math.min(share - held, free.size() - before));
        }
        boolean gaveUp = othersWait && (!released.isEmpty() || openPermits(limited) < held);
        List<Permit> acquired =
                gaveUp
                        ? List.of()
                        : free.subList(
                                0, Math.max(0, Math.min(wanted, MAX_CHANGES - released.size())));
        boolean waits = held == 0 && acquired.isEmpty() && isWanted(service, now);
        boolean waited = table.waiting().contains(mSelf);
        rounds.mMayHoldKeys = held > 0 || waits || !acquired.isEmpty();
        if (released.isEmpty() && acquired.isEmpty() && waits == waited) {
            boolean isNext = waits && before < total;
            long longest = isNext ? NEXT_INTERVAL_NANOS : MAX_INTERVAL_NANOS;
            endRound(rounds, Math.min(longest, 2 * rounds.mIntervalNanos), now);
            long release = nextReleaseAt(limited, now);
            if (release < rounds.mNextAt - now) {
                rounds.mNextAt = now + release;
            }
            return;
        }
        rounds.mChange = new PermitChange(acquired, released, waits);
        rounds.mMayHoldKeys = true;
        mOutputs.commit(service, rounds.mChange);
    }

    /** Makes the held permits of an endpoint equal to those in the store. */
    private void adoptHeld(LimitedEndpoint endpoint, PermitTable table, long now) {
        String id = endpoint.endpoint().id();
        List<LimitedEndpoint.Held> held = new ArrayList<>();
        for (Permit permit : table.permits()) {
            if (!permit.endpoint().equals(id) || !permit.holder().equals(mSelf)) {
                continue;
            }
            LimitedEndpoint.Held known = null;
            for (LimitedEndpoint.Held candidate : endpoint.held()) {
                if (candidate.mPermit.equals(permit)) {
                    known = candidate;
                }
            }
            // When an unknown permit was last used is unknown too.
            long usableAt = now + endpoint.terms().periodNanos();
            held.add(known != null ? known : new LimitedEndpoint.Held(permit, now, usableAt));
        }
        endpoint.held().clear();
        endpoint.held().addAll(held);
    }

    /**
     * Returns the permits to release. Those that can't be released yet, since their last request
     * was too recent, are closed: they admit no request until they are released.
     */
    private List<Permit> released(
            List<LimitedEndpoint> limited,
            PermitTable table,
            int share,
            boolean othersWait,
            boolean tooFew,
            long now) {
        List<Permit> released = new ArrayList<>();
        Set<String> limitedIds = new HashSet<>();
        limited.forEach(endpoint -> limitedIds.add(endpoint.endpoint().id()));
        for (Permit permit : table.permits()) {
            if (permit.holder().equals(mSelf) && !limitedIds.contains(permit.endpoint())) {
                released.add(permit);
            }
        }
        int kept = (int) openPermits(limited);
        for (LimitedEndpoint endpoint : limited) {
            for (LimitedEndpoint.Held held : List.copyOf(endpoint.held())) {
                boolean surplus = othersWait && kept > share;
                boolean turnOver =
                        othersWait
                                && tooFew
                                && now - held.mHeldSince > mTimings.get().turnNanos()
                                && held.mLastActiveAt != held.mHeldSince;
                boolean undefined = held.mPermit.index() >= endpoint.terms().permits();
                boolean idle =
                        now - held.mLastActiveAt
                                        > endpoint.terms().periodNanos()
                                                + mTimings.get().idleNanos()
                                && !endpoint.isWanted(DEMAND_NANOS, now);
                if (!held.mClosed && (undefined || idle || surplus || turnOver)) {
                    held.mClosed = true;
                    kept--;
                }
                if (held.mClosed && now - held.mUsableAt >= 0 && released.size() < MAX_CHANGES) {
                    released.add(held.mPermit);
                    endpoint.held().remove(held);
                }
            }
        }
        return released.size() <= MAX_CHANGES ? released : released.subList(0, MAX_CHANGES);
    }

    private static long openPermits(List<LimitedEndpoint> limited) {
        return limited.stream()
                .flatMap(endpoint -> endpoint.held().stream())
                .filter(held -> !held.mClosed)
                .count();
    }

    /** Returns the time until a closed permit can be released; the maximum if there is none. */
    private static long nextReleaseAt(List<LimitedEndpoint> limited, long now) {
        long delay = Long.MAX_VALUE;
        for (LimitedEndpoint endpoint : limited) {
            for (LimitedEndpoint.Held held : endpoint.held()) {
                if (held.mClosed) {
                    delay = Math.min(delay, Math.max(0, held.mUsableAt - now));
                }
            }
        }
        return delay;
    }

    private static boolean isExhausted(LimitedEndpoint endpoint, PermitTable table, String id) {
        long held = table.permits().stream().filter(p -> p.endpoint().equals(id)).count();
        return held >= endpoint.terms().permits();
    }

    /** Returns the free permits of the endpoints that requests wait for, in random order. */
    private List<Permit> freePermits(List<LimitedEndpoint> limited, PermitTable table, long now) {
        List<Permit> free = new ArrayList<>();
        long demandNanos = demandNanos(limited);
        for (LimitedEndpoint endpoint : limited) {
            if (!endpoint.isWanted(demandNanos, now)) {
                continue;
            }
            String id = endpoint.endpoint().id();
            Set<Integer> taken = new HashSet<>();
            for (Permit permit : table.permits()) {
                if (permit.endpoint().equals(id)) {
                    taken.add(permit.index());
                }
            }
            for (int index = 0; index < endpoint.terms().permits(); index++) {
                if (!taken.contains(index)) {
                    free.add(new Permit(id, index, mSelf, 0));
                }
            }
        }
        Collections.shuffle(free, mRandom);
        return free;
    }

    /**
     * Handles a change that took effect.
     *
     * @param revision the revision of the permits that were acquired
     */
    public void onCommitted(ServiceName service, long revision, long now) {
        Rounds rounds = mRounds.get(service);
        if (rounds == null || !rounds.mOpen || rounds.mChange == null) {
            return;
        }
        for (Permit permit : rounds.mChange.acquired()) {
            LimitedEndpoint endpoint = mEndpoints.get(permit.endpoint());
            if (endpoint != null) {
                Permit acquired = new Permit(permit.endpoint(), permit.index(), mSelf, revision);
                endpoint.held().add(new LimitedEndpoint.Held(acquired, now, now));
            }
        }
        endRound(rounds, MIN_INTERVAL_NANOS, now);
    }

    /** Handles a change that did not take effect because another process changed the table. */
    public void onConflict(ServiceName service, long now) {
        Rounds rounds = mRounds.get(service);
        if (rounds != null && rounds.mOpen) {
            endRound(rounds, MIN_INTERVAL_NANOS, now);
        }
    }

    /** Handles a round that ended without a result; its change may take effect later. */
    public void onRoundFailed(ServiceName service, long now) {
        Rounds rounds = mRounds.get(service);
        if (rounds != null && rounds.mOpen) {
            rounds.mUncertain |= rounds.mChange != null;
            rounds.mUncertainSince = now;
            endRound(rounds, MAX_INTERVAL_NANOS, now);
        }
    }

    /** Ends a round; the time to the next one varies, so that entries don't act in step. */
    private void endRound(Rounds rounds, long intervalNanos, long now) {
        rounds.mOpen = false;
        rounds.mChange = null;
        rounds.mIntervalNanos = intervalNanos;
        rounds.mEndedAt = now;
        rounds.mNextAt = now + (long) (intervalNanos * (0.5 + mRandom.nextDouble()));
    }
}
