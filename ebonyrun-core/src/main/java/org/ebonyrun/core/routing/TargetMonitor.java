package org.ebonyrun.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.ServiceTimes;
import org.ebonyrun.core.config.ClassKind;
import org.ebonyrun.core.config.ClassSpec;
import org.ebonyrun.core.config.OperatorConfig;

/**
 * Compares how calls ended lately with the targets of their classes, and estimates what a class
 * that misses its target lacks.
 *
 * <p>Looks at the last {@link #WINDOW_NANOS} to twice that.
 *
 * <p>Not thread safe; confined to the dispatch duty.
 */
public final class TargetMonitor {
    /** Time after which an end is forgotten at the earliest, in nanoseconds. */
    public static final long WINDOW_NANOS = Nanos.ofMillis(30_000);

    private final Map<ClassName, Ends> mEnds = new HashMap<>();
    private final ServiceTimes mTimes = new ServiceTimes();

    /** Creates a monitor that has seen nothing. */
    public TargetMonitor() {}

    /** How the calls of a class ended, in two windows. */
    private static final class Ends {
        private Counts mOlder = new Counts();
        private Counts mNewer = new Counts();
        private long mTurnAt;

        Counts at(long now) {
            if (now - mTurnAt >= 0) {
                boolean old = now - mTurnAt >= WINDOW_NANOS;
                mOlder = old ? new Counts() : mNewer;
                mNewer = new Counts();
                mTurnAt = now + WINDOW_NANOS;
            }
            return mNewer;
        }
    }

    /** How calls ended. */
    private static final class Counts {
        private long mInTime;
        private long mLate;
        private long mRefused;
        private long mFailed;
    }

    /**
     * How a class fares against its target.
     *
     * @param name the class
     * @param calls calls that ended lately
     * @param inTime share of the answered calls that were in time; text with percent
     * @param target the target, as text
     * @param refused calls refused as not run
     * @param shortfall what is missing to meet the target; empty if it is met
     */
    public record ClassStatus(
            ClassName name,
            long calls,
            String inTime,
            String target,
            long refused,
            String shortfall) {}

    /** Takes note of an answered call. */
    public void onAnswered(Work work, long tookNanos, long now) {
        Counts counts = counts(work, now);
        if (now - work.targetAt() <= 0) {
            counts.mInTime++;
        } else {
            counts.mLate++;
        }
        mTimes.add(work.className(), Nanos.toMillis(tookNanos));
    }

    /** Takes note of a call that got no answer. */
    public void onFault(Work work, Fault fault, long now) {
        Counts counts = counts(work, now);
        if (fault.isNotRun() && fault.code() != FaultCode.BAD_REQUEST) {
            counts.mRefused++;
        } else {
            counts.mFailed++;
        }
    }

    /** Returns how each class for calls fares. */
    public List<ClassStatus> status(OperatorConfig config, List<EndpointView> endpoints, long now) {
        List<ClassStatus> rows = new ArrayList<>();
        for (ClassSpec spec : config.classes().values()) {
            if (spec.kind() != ClassKind.ROLLOUT) {
                rows.add(status(spec, endpoints, now));
            }
        }
        rows.sort((a, b) -> a.name().compareTo(b.name()));
        return rows;
    }

    private ClassStatus status(ClassSpec spec, List<EndpointView> endpoints, long now) {
        Ends ends = mEnds.computeIfAbsent(spec.name(), key -> new Ends());
        Counts newer = ends.at(now);
        Counts older = ends.mOlder;
        long inTime = newer.mInTime + older.mInTime;
        long answered = inTime + newer.mLate + older.mLate;
        long refused = newer.mRefused + older.mRefused;
        long calls = answered + refused + newer.mFailed + older.mFailed;
        double share = answered == 0 ? 1 : (double) inTime / answered;
        boolean met = share >= spec.targetQuantile() && refused == 0;
        return new ClassStatus(
                spec.name(),
                calls,
                answered == 0 ? "-" : percent(share),
                percent(spec.targetQuantile()) + " within " + spec.targetLatencyMillis() + " ms",
                refused,
                met ? "" : shortfall(spec, refused, answered, endpoints));
    }

    /** Estimates by Little's law how many endpoints would take what was refused. */
    private String shortfall(
            ClassSpec spec, long refused, long answered, List<EndpointView> endpoints) {
        int usable = 0;
        int slots = 0;
        for (EndpointView view : endpoints) {
            if (view.service().equals(spec.service()) && view.isUsable()) {
                usable++;
                slots += view.load().slots();
            }
        }
        if (usable == 0) {
            return "no usable endpoint of " + spec.service();
        }
        if (refused == 0 || answered == 0) {
            return "answers are late; capacity of " + spec.service() + " is short";
        }
        double perSecond = refused * (double) Nanos.PER_SECOND / WINDOW_NANOS;
        double busy = perSecond * mTimes.medianMillis(spec.name()) / 1_000;
        long more = Math.max(1, (long) Math.ceil(busy * usable / Math.max(1, slots)));
        return more + " more endpoints of " + spec.service();
    }

    private Counts counts(Work work, long now) {
        return mEnds.computeIfAbsent(work.className(), key -> new Ends()).at(now);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }
}
