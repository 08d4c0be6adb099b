package org.ebonyrun.core.membership;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;

/**
 * A process that the platform's list names.
 *
 * @param vm the VM
 * @param endpoint whether it is an endpoint's agent; else it is an entry
 * @param service the service of an endpoint; empty for an entry
 * @param failureDomain where it runs
 * @param host the IP number for links
 * @param port the port for links
 * @param leaving whether the list says that it is leaving
 */
public record Peer(
        VmId vm,
        boolean endpoint,
        String service,
        FailureDomain failureDomain,
        String host,
        int port,
        boolean leaving) {}
