package org.ebonyrun.ports.vm;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;

/**
 * One VM of the platform's list of VMs.
 *
 * @param vm the VM
 * @param role {@code entry} or {@code endpoint}
 * @param service the service of the endpoint on the VM; empty for an entry
 * @param failureDomain where the VM runs
 * @param host the IP address on which the VM's process listens for links
 * @param port the port for links
 * @param leaving whether the platform is about to remove the VM
 */
public record VmRecord(
        VmId vm,
        String role,
        String service,
        FailureDomain failureDomain,
        String host,
        int port,
        boolean leaving) {
    /** The role of an endpoint VM. */
    public static final String ROLE_ENDPOINT = "endpoint";

    /** The role of an entry VM. */
    public static final String ROLE_ENTRY = "entry";
}
