package org.ebonyrun.standin.loopback;

import java.net.URI;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.daemon.DaemonSettings;
import org.jspecify.annotations.Nullable;

/**
 * Creates the settings of daemons that listen on loopback, on ports that the system chooses, and
 * use one stand-in of the platform.
 *
 * <p>Immutable and thread safe.
 *
 * @param platform the address of the platform's services
 * @param entriesPerEndpoint the number of entries that connect to each endpoint; the same at all
 *     entries
 */
public record LoopbackSettings(URI platform, int entriesPerEndpoint) {
    /** The address on which all processes listen. */
    public static final String HOST = "127.0.0.1";

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long MAX_HELD_BYTES = 32L << 20;
    private static final long DRAIN_TIMEOUT_MILLIS = 20_000;

    /** Returns the settings of an entry. */
    public DaemonSettings entry(String vm, FailureDomain domain) {
        return newSettings(DaemonSettings.ROLE_ENTRY, vm, domain, null, null, false);
    }

    /** Returns the settings of the agent beside an endpoint. */
    public DaemonSettings agent(
            String vm, FailureDomain domain, String service, URI endpoint, boolean engine) {
        return newSettings(
                DaemonSettings.ROLE_ENDPOINT,
                vm,
                domain,
                ServiceName.of(service),
                endpoint,
                engine);
    }

    private DaemonSettings newSettings(
            String role,
            String vm,
            FailureDomain domain,
            @Nullable ServiceName service,
            @Nullable URI endpoint,
            boolean engine) {
        return new DaemonSettings(
                role,
                VmId.of(vm),
                domain,
                new DaemonSettings.ListenAddress(HOST, 0),
                new DaemonSettings.ListenAddress(HOST, 0),
                new DaemonSettings.PlatformAddresses(platform, platform, platform),
                service,
                endpoint,
                engine,
                MAX_BODY_BYTES,
                MAX_HELD_BYTES,
                entriesPerEndpoint,
                DRAIN_TIMEOUT_MILLIS);
    }
}
