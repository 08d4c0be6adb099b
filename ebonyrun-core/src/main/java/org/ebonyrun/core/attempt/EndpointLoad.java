package org.ebonyrun.core.attempt;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What an endpoint's agent says of itself on every answer. On the wire it is an array, because it
 * is part of every heartbeat; a newer peer may add components at the end.
 *
 * @param slots how many attempts run at once
 * @param running attempts that run
 * @param queued calls that wait
 * @param sampleRoom how many more samples it would start now
 * @param version the weight version read off the endpoint; zero for a plain service
 * @param swapping whether weights are being swapped
 * @param leaving whether it takes no new work
 * @param urgentRoom how many samples whose target has passed it would start, calls or not
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointLoad(
        int slots,
        int running,
        int queued,
        int sampleRoom,
        long version,
        boolean swapping,
        boolean leaving,
        int urgentRoom) {
    /** Returns the load of an endpoint that has reported nothing. */
    public static EndpointLoad unknown() {
        return new EndpointLoad(0, 0, 0, 0, 0, false, false, 0);
    }

    /** Returns how many calls would start at once. */
    public int freeSlots() {
        return slots - running - queued;
    }
}
