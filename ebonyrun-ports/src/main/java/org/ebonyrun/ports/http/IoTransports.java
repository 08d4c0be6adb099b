package org.ebonyrun.ports.http;

import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates transports that do all their I/O on one thread. Stateless and thread safe. */
public final class IoTransports {
    private IoTransports() {}

    /**
     * Creates a transport, which is not started yet.
     *
     * @param name the name of its I/O thread
     */
    public static TCPNIOTransport create(String name) {
        return TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName(name)
                                .setCorePoolSize(1)
                                .setMaxPoolSize(1)
                                .setDaemon(true))
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .build();
    }
}
