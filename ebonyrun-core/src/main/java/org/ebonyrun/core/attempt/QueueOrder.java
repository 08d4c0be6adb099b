package org.ebonyrun.core.attempt;

import java.util.Comparator;

/** Decides which queued attempt an agent starts first. Implementations are immutable. */
public interface QueueOrder {
    /** Returns an order in which the attempt to start first is the least. */
    Comparator<QueuedWork> comparator();

    /**
     * What the order may look at.
     *
     * @param kind whose work it is
     * @param arrival the number of the attempt in the order of arrival
     * @param latestStart the monotonic time in nanoseconds at which the work must start to meet its
     *     target, by the learned service time
     */
    record QueuedWork(WorkKind kind, long arrivalNumber, long latestStart) {}

    /** Returns the order that starts the work with the least time to spare first. */
    static QueueOrder leastLaxity() {
        return () ->
                Comparator.comparingLong(QueuedWork::latestStart)
                        .thenComparingLong(QueuedWork::arrivalNumber);
    }

    /** Returns the order of arrival. */
    static QueueOrder fifo() {
        return () -> Comparator.comparingLong(QueuedWork::arrivalNumber);
    }

    /** Returns the order that starts calls before samples, each by arrival. */
    static QueueOrder callsFirst() {
        return () ->
                Comparator.comparing(QueuedWork::kind).thenComparingLong(QueuedWork::arrivalNumber);
    }
}
