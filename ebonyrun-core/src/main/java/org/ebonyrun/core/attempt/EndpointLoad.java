package org.ebonyrun.core.attempt;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The load that an endpoint's agent reports with every reply and heartbeat. It is encoded as an
 * array to keep heartbeats small; newer peers may append components at the end.
 *
 * @param slots the number of attempts that may run concurrently
 * @param running the number of running attempts
 * @param queued the number of waiting attempts
 * @param sampleRoom how many more samples the agent would accept now
 * @param version the weight version that the endpoint reports; zero for a plain service
 * @param swapping whether a weight swap is in progress
 * @param leaving whether the agent is draining
 * @param urgentRoom how many more samples whose target has passed the agent would accept now,
 *     regardless of calls
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
    /** Returns the load to assume of an endpoint that has not reported any: it has no slots. */
    public static EndpointLoad unknown() {
        return new EndpointLoad(0, 0, 0, 0, 0, false, false, 0);
    }

    /** Returns the number of calls that would start immediately; negative if calls wait. */
    public int freeSlots() {
        return slots - running - queued;
    }
}
