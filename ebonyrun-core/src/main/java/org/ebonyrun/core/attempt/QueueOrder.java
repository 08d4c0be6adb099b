package org.ebonyrun.core.attempt;

import java.util.Comparator;

/** The order in which an agent starts queued attempts. Implementations are immutable. */
public interface QueueOrder {
    /** Returns a comparator that sorts the attempt to start first to the front. */
    Comparator<QueuedWork> comparator();

    /**
     * The properties of a queued attempt that determine its position.
     *
     * @param kind the kind of work
     * @param arrivalNumber the sequence number of the attempt in the order of arrival
     * @param latestStart the monotonic time in nanoseconds by which the work must start to meet its
     *     target, given the median service time measured for its class
     */
    record QueuedWork(WorkKind kind, long arrivalNumber, long latestStart) {}

    /** Returns the order that starts the work with the least laxity (time to spare) first. */
    static QueueOrder leastLaxity() {
        return () ->
                Comparator.comparingLong(QueuedWork::latestStart)
                        .thenComparingLong(QueuedWork::arrivalNumber);
    }

    /** Returns the order that starts work in the order of arrival. */
    static QueueOrder fifo() {
        return () -> Comparator.comparingLong(QueuedWork::arrivalNumber);
    }

    /** Returns the order that starts calls before samples, each in the order of arrival. */
    static QueueOrder callsFirst() {
        return () ->
                Comparator.comparing(QueuedWork::kind).thenComparingLong(QueuedWork::arrivalNumber);
    }
}
