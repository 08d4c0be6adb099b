package org.ebonyrun.core.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.ebonyrun.base.id.VmId;

/**
 * The value that a holder stores under a lease's key.
 *
 * @param vm the holder
 * @param incarnation the random number that the holder drew at its start
 * @param host the IP number on which the holder listens for links
 * @param port the port for links
 */
public record LeaseHolder(
        @JsonProperty("vm") VmId vm,
        @JsonProperty("incarnation") long incarnation,
        @JsonProperty("host") String host,
        @JsonProperty("port") int port) {
    /** Returns whether both name the same start of the same process. */
    public boolean isSameProcess(LeaseHolder other) {
        return vm.equals(other.vm) && incarnation == other.incarnation;
    }
}
