package org.ebonyrun.core.attempt;

/**
 * What an endpoint's agent says of itself on every answer.
 *
 * @param slots how many attempts run at once
 * @param running attempts that run
 * @param queued calls that wait
 * @param sampleRoom how many more samples it would start now
 * @param version the weight version read off the endpoint; zero for a plain service
 * @param swapping whether weights are being swapped
 * @param leaving whether it takes no new work
 */
public record EndpointLoad(
        int slots,
        int running,
        int queued,
        int sampleRoom,
        long version,
        boolean swapping,
        boolean leaving) {
    /** Returns the load of an endpoint that has reported nothing. */
    public static EndpointLoad unknown() {
        return new EndpointLoad(0, 0, 0, 0, 0, false, false);
    }

    /** Returns how many calls would start at once. */
    public int free() {
        return slots - running - queued;
    }
}
