package org.ebonyrun.ports.http;

/**
 * The connection that carries an exchange, as reported in logs.
 *
 * @param connection the number of the connection, unique within its client
 * @param requests the number of requests sent on the connection, including this one
 * @param idleMillis how long the connection was idle before this request, in milliseconds; zero for
 *     its first request
 */
public record ConnectionUse(long connection, int requests, long idleMillis) {
    /** The use of an exchange that has no connection yet. */
    public static final ConnectionUse NONE = new ConnectionUse(0, 0, 0);
}
