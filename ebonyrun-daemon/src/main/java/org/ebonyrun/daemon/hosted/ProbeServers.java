package org.ebonyrun.daemon.hosted;

import java.io.IOException;
import org.ebonyrun.ports.http.FrontLimits;
import org.ebonyrun.ports.http.FrontServer;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Serves the readiness and the metrics of an entry. Stateless and thread safe. */
final class ProbeServers {
    // Their requests have no body, whatever callers of the front may send.
    private static final FrontLimits LIMITS = new FrontLimits(16_384, 1_024, 5_000, 30_000);

    private ProbeServers() {}

    /**
     * Listens on the addresses of the settings.
     *
     * @throws IOException if an address can't be bound
     */
    static void bind(
            TCPNIOTransport transport,
            HostedSettings settings,
            ReadinessHandler readiness,
            MetricsHandler metrics)
            throws IOException {
        FrontServer.bind(transport, settings.ready(), readiness, () -> LIMITS);
        FrontServer.bind(transport, settings.metrics(), metrics, () -> LIMITS);
    }
}
