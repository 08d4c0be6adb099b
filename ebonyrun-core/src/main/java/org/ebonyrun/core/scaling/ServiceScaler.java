package org.ebonyrun.core.scaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.scaling.ScalingOrder.Reason;
import org.jspecify.annotations.Nullable;

/**
 * Decides how many endpoints of one service to keep in each failure domain.
 *
 * <p>Three quarters of the places hold the demand, and all places without the largest failure
 * domain hold it. The number is raised at once and in advance of a steady rise. It is lowered to
 * what 1.25 times the highest demand of the hold time needs.
 *
 * <p>Load that it answers: demand that lasts longer than endpoints take to boot. A shorter burst
 * waits in the entries or is refused; its endpoints come too late and are given back after the hold
 * time.
 *
 * <p>Invariants: every order is within the bounds; a failure domain has at most one order without a
 * reply; a domain is lowered no sooner than a hold time after it was raised, and only if all
 * figures were complete for that long, except to meet the bounds.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
public final class ServiceScaler {
    /** The time after the boot time until which ordered endpoints count as coming. */
    public static final long SLACK_NANOS = Nanos.ofMillis(5_000);

    /** The longest time from a change of the demand until it is ordered, without the platform's. */
    public static final long LAG_NANOS = Nanos.ofMillis(6_000);

    // At three quarters of 16 places and more, the mean wait for one is below 5% of a service time.
    private static final double TARGET_USE = 0.75;
    private static final double LOWERING_FACTOR = 1.25;
    private static final long MIN_HOLD_NANOS = Nanos.ofMillis(15_000);
    private static final int MAX_DOMAINS = 64;
    private static final long UNANSWERED_NANOS = Nanos.ofMillis(1_000);
    private static final long MAX_UNANSWERED_NANOS = Nanos.ofMillis(8_000);
    private static final long REFUSED_NANOS = Nanos.ofMillis(2_000);
    private static final long MAX_REFUSED_NANOS = Nanos.ofMillis(30_000);
    private static final int MAX_REPEAT_SHIFT = 3;

    private static final class Subject {
        final FailureDomain mDomain;
        int mServing;
        boolean mOrdered;
        int mTarget;
        // Whether the last order may not have been carried out.
        boolean mUnanswered;
        boolean mInFlight;
        int mBefore;
        boolean mOrderedBefore;
        long mOrderedAt;
        int mFailures;
        long mRetryAt;
        boolean mDeparted;
        long mDepartedAt;
        int mRepeats;
        boolean mRaised;
        long mRaisedAt;

        Subject(FailureDomain domain) {
            mDomain = domain;
        }

        /** Returns the number that is, or will be, there. */
        int count() {
            return mOrdered ? mTarget : mServing;
        }
    }

    private final SortedMap<FailureDomain, Subject> mSubjects = new TreeMap<>();
    // A smaller rise fits into the places that the target use leaves until more are ordered.
    private final DemandHistory mHistory = new DemandHistory(1 / TARGET_USE);
    private ScalingBounds mBounds;
    private double mSlots = 1;
    private double mDemand;
    private boolean mComplete;
    private long mCompleteSince;

    /** Creates a scaler that knows no endpoint. */
    public ServiceScaler(ScalingBounds bounds) {
        mBounds = bounds;
    }

    /** Applies the bounds of a configuration. */
    public void setBounds(ScalingBounds bounds) {
        mBounds = bounds;
    }

    /** Returns the time for which the demand must have been low before endpoints are given back. */
    public long holdNanos() {
        return MIN_HOLD_NANOS + 2 * mBounds.bootNanos();
    }

    /** Forgets what was ordered: a term of the duties begins. */
    public void onTerm() {
        for (Subject subject : mSubjects.values()) {
            subject.mOrdered = false;
            subject.mInFlight = false;
            subject.mUnanswered = false;
            subject.mDeparted = false;
            subject.mFailures = 0;
            subject.mRepeats = 0;
            subject.mRetryAt = 0;
            subject.mRaised = false;
        }
        mComplete = false;
    }

    /** Handles new figures; called about once a second. */
    public void onFigures(ScalingFigures figures, long now) {
        mSlots = figures.slots();
        for (FailureDomain domain : figures.serving().keySet()) {
            if (mSubjects.size() < MAX_DOMAINS) {
                mSubjects.computeIfAbsent(domain, Subject::new);
            }
        }
        for (Subject subject : mSubjects.values()) {
            int serving = figures.serving().getOrDefault(subject.mDomain, 0);
            observe(subject, serving, now);
        }
        if (!figures.complete()) {
            mComplete = false;
        } else if (!mComplete) {
            mComplete = true;
            mCompleteSince = now;
        }
        mDemand = mHistory.add(figures.demand(), mBounds.bootNanos() + LAG_NANOS, holdNanos(), now);
    }

    private static void observe(Subject subject, int serving, long now) {
        boolean matches = !subject.mOrdered || serving == subject.mTarget;
        if (matches) {
            subject.mDeparted = false;
            subject.mRepeats = 0;
        } else if (!subject.mDeparted || serving > subject.mServing) {
            subject.mDeparted = true;
            subject.mDepartedAt = now;
        }
        subject.mServing = serving;
    }

    private boolean hasDepartedFor(Subject subject, long nanos, long now) {
        return subject.mDeparted && now - subject.mDepartedAt > nanos;
    }

    /** Returns whether endpoints that were ordered in a domain have not come. */
    private boolean hasFailed(Subject subject, long now) {
        return subject.mServing < subject.mTarget
                && hasDepartedFor(subject, mBounds.bootNanos() + SLACK_NANOS, now);
    }

    /**
     * Returns the orders that are due. The caller sends some or all of them, and reports each with
     * {@link #onSent}.
     */
    public List<ScalingOrder> orders(long now) {
        Map<FailureDomain, Integer> wanted = wanted(now);
        List<ScalingOrder> orders = new ArrayList<>();
        for (Subject subject : mSubjects.values()) {
            boolean waits = subject.mFailures > 0 && now - subject.mRetryAt < 0;
            if (subject.mInFlight || waits) {
                continue;
            }
            int count = subject.count();
            int to = wanted.get(subject.mDomain);
            Reason reason = reason(subject, to, now);
            if (reason != null) {
                orders.add(
                        new ScalingOrder(
                                subject.mDomain,
                                count,
                                to,
                                reason,
                                subject.mServing,
                                to < count ? mHistory.highest() : mDemand));
            }
        }
        return orders;
    }

    private @Nullable Reason reason(Subject subject, int to, long now) {
        int count = subject.count();
        if (count != mBounds.clamp(count)) {
            return Reason.BOUNDS;
        }
        if (to != count) {
            return to > count ? Reason.DEMAND : Reason.QUIET;
        }
        if (subject.mUnanswered) {
            return Reason.UNANSWERED;
        }
        long wait = (mBounds.bootNanos() + SLACK_NANOS) << subject.mRepeats;
        boolean repeat = hasDepartedFor(subject, wait, now) && now - subject.mOrderedAt > wait;
        return repeat ? Reason.DEPARTED : null;
    }

    /** Returns the wanted number of endpoints in each domain. */
    private Map<FailureDomain, Integer> wanted(long now) {
        Map<FailureDomain, Integer> wanted = new TreeMap<>();
        Map<FailureDomain, Integer> usable = new TreeMap<>();
        List<Subject> open = new ArrayList<>();
        boolean failed = false;
        for (Subject subject : mSubjects.values()) {
            int count = mBounds.clamp(subject.count());
            wanted.put(subject.mDomain, count);
            if (hasFailed(subject, now)) {
                failed = true;
                usable.put(subject.mDomain, subject.mServing);
            } else {
                usable.put(subject.mDomain, count);
                open.add(subject);
            }
        }
        if (!isEnough(usable.values(), mDemand, !failed)) {
            raise(open, usable, wanted, !failed);
        } else if (mayLower(now)) {
            lower(open, usable, wanted, now);
        }
        return wanted;
    }

    private void raise(
            List<Subject> open,
            Map<FailureDomain, Integer> usable,
            Map<FailureDomain, Integer> wanted,
            boolean keepRoom) {
        while (!isEnough(usable.values(), mDemand, keepRoom)) {
            Subject smallest =
                    open.stream()
                            .filter(subject -> usable.get(subject.mDomain) < mBounds.max())
                            .min(Comparator.comparingInt(subject -> usable.get(subject.mDomain)))
                            .orElse(null);
            if (smallest == null) {
                return;
            }
            int count = usable.get(smallest.mDomain) + 1;
            usable.put(smallest.mDomain, count);
            wanted.put(smallest.mDomain, count);
        }
    }

    private boolean mayLower(long now) {
        return mComplete
                && now - mCompleteSince >= holdNanos()
                && mSubjects.values().stream().allMatch(subject -> isSettled(subject, now));
    }

    /** Returns whether a domain awaits neither a reply nor endpoints. */
    private boolean isSettled(Subject subject, long now) {
        boolean coming =
                subject.mDeparted && subject.mServing < subject.mTarget && !hasFailed(subject, now);
        return !subject.mInFlight && !subject.mUnanswered && !coming;
    }

    private void lower(
            List<Subject> open,
            Map<FailureDomain, Integer> usable,
            Map<FailureDomain, Integer> wanted,
            long now) {
        double demand = LOWERING_FACTOR * mHistory.highest();
        List<Subject> candidates = new ArrayList<>(open);
        candidates.removeIf(s -> s.mRaised && now - s.mRaisedAt < holdNanos());
        while (true) {
            Subject largest =
                    candidates.stream()
                            .filter(subject -> usable.get(subject.mDomain) > mBounds.min())
                            .max(Comparator.comparingInt(subject -> usable.get(subject.mDomain)))
                            .orElse(null);
            if (largest == null) {
                return;
            }
            int count = usable.get(largest.mDomain) - 1;
            usable.put(largest.mDomain, count);
            if (!isEnough(usable.values(), demand, true)) {
                return;
            }
            wanted.put(largest.mDomain, count);
        }
    }

    /**
     * Returns whether some numbers of endpoints are enough for a demand.
     *
     * @param keepRoom whether the demand must fit without the largest failure domain
     */
    private boolean isEnough(Collection<Integer> counts, double demand, boolean keepRoom) {
        int total = 0;
        int largest = 0;
        for (int count : counts) {
            total += count;
            largest = Math.max(largest, count);
        }
        boolean roomForLoss =
                !keepRoom || counts.size() < 2 || (total - largest) * mSlots >= demand;
        return roomForLoss && total * mSlots * TARGET_USE >= demand;
    }

    /** Handles that an order is being sent. */
    public void onSent(ScalingOrder order, long now) {
        Subject subject = mSubjects.get(order.domain());
        if (subject == null) {
            return;
        }
        subject.mBefore = subject.count();
        subject.mOrderedBefore = subject.mOrdered;
        if (order.to() > subject.mBefore) {
            subject.mRaised = true;
            subject.mRaisedAt = now;
        }
        if (order.reason() == Reason.DEPARTED) {
            subject.mRepeats = Math.min(MAX_REPEAT_SHIFT, subject.mRepeats + 1);
        }
        subject.mOrdered = true;
        subject.mOrderedAt = now;
        subject.mTarget = order.to();
        subject.mInFlight = true;
        observe(subject, subject.mServing, now);
    }

    /** Handles the reply that the order of a domain was carried out. */
    public void onDone(FailureDomain domain) {
        Subject subject = endOrder(domain);
        if (subject != null) {
            subject.mUnanswered = false;
            subject.mFailures = 0;
        }
    }

    /** Handles that the order of a domain has no reply: it may take effect, also later. */
    public void onUnanswered(FailureDomain domain, long now) {
        Subject subject = endOrder(domain);
        if (subject != null) {
            subject.mUnanswered = true;
            backOff(subject, UNANSWERED_NANOS, MAX_UNANSWERED_NANOS, now);
        }
    }

    /** Handles the reply that the order of a domain was not carried out, and will not be. */
    public void onRefused(FailureDomain domain, long now) {
        Subject subject = endOrder(domain);
        if (subject == null) {
            return;
        }
        // If an earlier order may still take effect, the number is unknown and is sent again.
        if (!subject.mUnanswered) {
            subject.mOrdered = subject.mOrderedBefore;
            subject.mTarget = subject.mBefore;
            observe(subject, subject.mServing, now);
        }
        backOff(subject, REFUSED_NANOS, MAX_REFUSED_NANOS, now);
    }

    private @Nullable Subject endOrder(FailureDomain domain) {
        Subject subject = mSubjects.get(domain);
        if (subject == null || !subject.mInFlight) {
            return null;
        }
        subject.mInFlight = false;
        return subject;
    }

    private static void backOff(Subject subject, long first, long max, long now) {
        subject.mRetryAt = now + Math.min(max, first << Math.min(4, subject.mFailures));
        subject.mFailures++;
    }

    /** Returns the wanted number of endpoints in each domain, as last ordered or else serving. */
    public SortedMap<FailureDomain, Integer> counts() {
        SortedMap<FailureDomain, Integer> counts = new TreeMap<>();
        mSubjects.forEach((domain, subject) -> counts.put(domain, subject.count()));
        return counts;
    }

    /** Returns the demand that is foreseen, in places. */
    public double demand() {
        return mDemand;
    }
}
