package org.ebonyrun.core.membership;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;

/**
 * A process on the platform's list of VMs.
 *
 * @param vm the VM
 * @param endpoint whether it is an endpoint's agent rather than an entry
 * @param service the service of an endpoint; empty for an entry
 * @param failureDomain the failure domain in which it runs
 * @param host the IP address on which it accepts links
 * @param port the port on which it accepts links
 * @param leaving whether the list reports it as leaving
 */
public record Peer(
        VmId vm,
        boolean endpoint,
        String service,
        FailureDomain failureDomain,
        String host,
        int port,
        boolean leaving) {}
