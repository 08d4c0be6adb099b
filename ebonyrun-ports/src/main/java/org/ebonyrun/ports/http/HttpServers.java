package org.ebonyrun.ports.http;

import java.io.IOException;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Starts Grizzly HTTP servers with bounded resources. Stateless and thread safe. */
public final class HttpServers {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 64;
    private static final int IDLE_SECONDS = 30;

    private HttpServers() {}

    /**
     * Starts a server.
     *
     * @param handlers handlers by path pattern, for example {@code /v1/*}
     */
    public static HttpServer start(HttpServerSettings settings, Map<String, HttpHandler> handlers)
            throws IOException {
        Logger.getLogger("org.glassfish.grizzly").setLevel(Level.WARNING);
        HttpServer server = new HttpServer();
        NetworkListener listener =
                new NetworkListener(settings.name(), settings.host(), settings.port());
        listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        listener.setMaxRequestHeaders(MAX_HEADERS);
        listener.setMaxFormPostSize(0);
        listener.getKeepAlive().setIdleTimeoutInSeconds(IDLE_SECONDS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        TCPNIOTransport transport = listener.getTransport();
        transport.setSelectorRunnersCount(1);
        transport.setTcpNoDelay(true);
        transport.setReuseAddress(true);
        transport.setWorkerThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                        .setPoolName(settings.name())
                        .setCorePoolSize(settings.workers())
                        .setMaxPoolSize(settings.workers())
                        .setDaemon(true));
        server.addListener(listener);
        handlers.forEach(
                (path, handler) -> server.getServerConfiguration().addHttpHandler(handler, path));
        server.start();
        return server;
    }

    /** Returns the port that a server listens on. */
    public static int port(HttpServer server) {
        return server.getListeners().iterator().next().getPort();
    }
}
