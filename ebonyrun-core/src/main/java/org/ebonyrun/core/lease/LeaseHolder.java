package org.ebonyrun.core.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.ebonyrun.base.id.VmId;

/**
 * The value that a holder stores under a lease's key.
 *
 * @param vm the holder's VM
 * @param incarnation a random number that the holding process chose when it started
 * @param host the IP address on which the holder accepts links
 * @param port the port on which the holder accepts links
 */
public record LeaseHolder(
        @JsonProperty("vm") VmId vm,
        @JsonProperty("incarnation") long incarnation,
        @JsonProperty("host") String host,
        @JsonProperty("port") int port) {
    /** Returns whether both are the same process, without a restart in between. */
    public boolean isSameProcess(LeaseHolder other) {
        return vm.equals(other.vm) && incarnation == other.incarnation;
    }
}
