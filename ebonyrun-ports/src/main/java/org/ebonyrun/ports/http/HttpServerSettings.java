package org.ebonyrun.ports.http;

/**
 * Where and how an HTTP server listens.
 *
 * @param name the name of the server's threads
 * @param host the IP number
 * @param port the port; zero lets the system choose
 * @param workers the number of threads that parse requests
 */
public record HttpServerSettings(String name, String host, int port, int workers) {}
