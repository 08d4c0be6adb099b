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
 * Compares the recent outcomes of calls with the targets of their classes, and estimates the
 * missing capacity of a class that misses its target.
 *
 * <p>Covers the last one to two windows of {@link #WINDOW_NANOS}.
 *
 * <p>Not thread safe; confined to the dispatch event loop.
 */
public final class TargetMonitor {
    /** The minimum time for which the outcome of a call counts, in nanoseconds. */
    public static final long WINDOW_NANOS = Nanos.ofMillis(30_000);

    private final Map<ClassName, WindowedCounts> mCountsByClass = new HashMap<>();
    private final ServiceTimes mServiceTimes = new ServiceTimes();

    /** Creates a monitor without recorded calls. */
    public TargetMonitor() {}

    /** The outcomes of the calls of a class in the current and the previous window. */
    private static final class WindowedCounts {
        private OutcomeCounts mOlder = new OutcomeCounts();
        private OutcomeCounts mNewer = new OutcomeCounts();
        private long mRotateAt;

        OutcomeCounts rotateAndGet(long now) {
            if (now - mRotateAt >= 0) {
                boolean expired = now - mRotateAt >= WINDOW_NANOS;
                mOlder = expired ? new OutcomeCounts() : mNewer;
                mNewer = new OutcomeCounts();
                mRotateAt = now + WINDOW_NANOS;
            }
            return mNewer;
        }
    }

    /** Counts of calls by outcome. */
    private static final class OutcomeCounts {
        private long mInTime;
        private long mLate;
        private long mRefused;
        private long mFailed;
    }

    /**
     * The recent performance of a class compared with its target.
     *
     * @param name the class
     * @param calls the number of calls that ended recently
     * @param inTime the percentage of answered calls that were in time, as text
     * @param target the target, as text
     * @param refused the number of calls that were refused and did not run
     * @param shortfall what is missing to meet the target, as text; empty if it is met
     */
    public record ClassStatus(
            ClassName name,
            long calls,
            String inTime,
            String target,
            long refused,
            String shortfall) {}

    /** Records a call that was answered after {@code tookNanos}. */
    public void onAnswered(Work work, long tookNanos, long now) {
        OutcomeCounts counts = currentCounts(work, now);
        if (now - work.targetAt() <= 0) {
            counts.mInTime++;
        } else {
            counts.mLate++;
        }
        mServiceTimes.add(work.className(), Nanos.toMillis(tookNanos));
    }

    /** Records a call that ended with a fault. */
    public void onFault(Work work, Fault fault, long now) {
        OutcomeCounts counts = currentCounts(work, now);
        if (fault.isNotRun() && fault.code() != FaultCode.BAD_REQUEST) {
            counts.mRefused++;
        } else {
            counts.mFailed++;
        }
    }

    /** Returns the status of each class except rollout classes, sorted by name. */
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
        WindowedCounts windows =
                mCountsByClass.computeIfAbsent(spec.name(), key -> new WindowedCounts());
        OutcomeCounts newer = windows.rotateAndGet(now);
        OutcomeCounts older = windows.mOlder;
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
                met ? "" : describeShortfall(spec, refused, answered, endpoints));
    }

    /** Estimates by Little's law how many more endpoints the refused calls would have needed. */
    private String describeShortfall(
            ClassSpec spec, long refused, long answered, List<EndpointView> endpoints) {
        int usableEndpoints = 0;
        int slots = 0;
        for (EndpointView view : endpoints) {
            if (view.service().equals(spec.service()) && view.isUsable()) {
                usableEndpoints++;
                slots += view.load().slots();
            }
        }
        if (usableEndpoints == 0) {
            return "no usable endpoint of " + spec.service();
        }
        if (refused == 0 || answered == 0) {
            return "responses are late; the capacity of " + spec.service() + " is insufficient";
        }
        double refusedPerSecond = refused * (double) Nanos.PER_SECOND / WINDOW_NANOS;
        double neededSlots = refusedPerSecond * mServiceTimes.medianMillis(spec.name()) / 1_000;
        long missingEndpoints =
                Math.max(1, (long) Math.ceil(neededSlots * usableEndpoints / Math.max(1, slots)));
        return missingEndpoints + " more endpoints of " + spec.service();
    }

    private OutcomeCounts currentCounts(Work work, long now) {
        return mCountsByClass
                .computeIfAbsent(work.className(), key -> new WindowedCounts())
                .rotateAndGet(now);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }
}
