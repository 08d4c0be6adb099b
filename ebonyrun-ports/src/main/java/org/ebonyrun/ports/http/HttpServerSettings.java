package org.ebonyrun.ports.http;

/**
 * The address and the threads of an HTTP server.
 *
 * @param name the name of the server's listener and of its threads
 * @param host the IP address
 * @param port the port; zero for any free port
 * @param workers the number of threads that parse requests
 */
public record HttpServerSettings(String name, String host, int port, int workers) {}
