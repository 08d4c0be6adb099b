package org.ebonyrun.base.id;

/**
 * Identifies one attempt to run a piece of work.
 *
 * <p>Immutable and thread safe. Unique across process restarts, because a process picks a new
 * random incarnation at each start.
 *
 * @param incarnation the random number that the issuing process picked at its start
 * @param counter the number of the attempt within that incarnation
 */
public record AttemptId(long incarnation, long counter) {
    @Override
    public String toString() {
        return Long.toHexString(incarnation) + "-" + counter;
    }
}
