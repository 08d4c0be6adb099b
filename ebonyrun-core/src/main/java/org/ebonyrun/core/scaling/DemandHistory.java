package org.ebonyrun.core.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ebonyrun.base.time.Nanos;

/**
 * The demand of a service over a hold time: its highest value, and how it goes on.
 *
 * <p>At most one value per second is kept, the highest of that second.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class DemandHistory {
    // Each of the means that a trend is read from covers this many values.
    private static final int MEAN_VALUES = 2;
    private static final int MEANS = 4;
    private static final double MAX_GROWTH = 2;

    private final double mMinGrowth;

    private record Value(long second, double demand, double foreseen) {}

    private final Deque<Value> mValues = new ArrayDeque<>();

    /**
     * Creates an empty history.
     *
     * @param minGrowth the factor below which a rise is not foreseen
     */
    DemandHistory(double minGrowth) {
        mMinGrowth = minGrowth;
    }

    /**
     * Adds a value and drops those that are older than the hold time.
     *
     * @param aheadNanos how far to foresee the demand, in nanoseconds
     * @return the demand after that time if its trend goes on; the new value if it doesn't rise
     *     steadily
     */
    double add(double demand, long aheadNanos, long holdNanos, long now) {
        long second = Math.floorDiv(now, Nanos.PER_SECOND);
        Value last = mValues.peekLast();
        double before = 0;
        double highest = demand;
        if (last != null && last.second() == second) {
            mValues.removeLast();
            highest = Math.max(demand, last.demand());
            before = last.foreseen();
        }
        mValues.addLast(new Value(second, highest, 0));
        double foreseen = foresee(demand, aheadNanos);
        mValues.removeLast();
        mValues.addLast(new Value(second, highest, Math.max(before, foreseen)));
        long oldest = second - Math.floorDiv(holdNanos, Nanos.PER_SECOND) - 1;
        while (mValues.getFirst().second() < oldest) {
            mValues.removeFirst();
        }
        return foreseen;
    }

    /** Returns the highest value, measured or foreseen, within the hold time. */
    double highest() {
        return mValues.stream().mapToDouble(Value::foreseen).max().orElse(0);
    }

    private double foresee(double demand, long aheadNanos) {
        int needed = MEANS * MEAN_VALUES;
        if (mValues.size() < needed) {
            return demand;
        }
        double[] newest =
                mValues.stream()
                        .skip(mValues.size() - (long) needed)
                        .mapToDouble(Value::demand)
                        .toArray();
        double smallestRise = Double.POSITIVE_INFINITY;
        for (int i = 1; i < MEANS; i++) {
            smallestRise = Math.min(smallestRise, mean(newest, i) - mean(newest, i - 1));
        }
        double seconds = (double) aheadNanos / Nanos.PER_SECOND;
        double foreseen = demand + smallestRise / MEAN_VALUES * seconds;
        return foreseen < mMinGrowth * demand ? demand : Math.min(MAX_GROWTH * demand, foreseen);
    }

    private static double mean(double[] values, int index) {
        double sum = 0;
        for (int i = 0; i < MEAN_VALUES; i++) {
            sum += values[index * MEAN_VALUES + i];
        }
        return sum / MEAN_VALUES;
    }
}
