package org.ebonyrun.core.hedge;

/**
 * How long a call stays open before it gets a hedged attempt.
 *
 * <p>Immutable and thread safe.
 *
 * @param nanos the delay
 * @param source what the delay was taken from
 * @param observations the number of latencies that it was taken from; zero for {@link
 *     Source#TARGET}
 * @param ageNanos how long ago the first of these latencies may have been observed
 */
public record HedgeDelay(long nanos, Source source, long observations, long ageNanos) {
    /** What a delay was taken from. */
    public enum Source {
        /** Half of the call's target latency. */
        TARGET,
        /** The latencies of the route's calls at all endpoints of the service. */
        SERVICE,
        /** The latencies of the route's calls at the endpoint of the open attempt. */
        ENDPOINT
    }
}
