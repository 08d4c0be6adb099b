package org.ebonyrun.ports.http;

/**
 * The connection that carries an exchange, as far as logs need it.
 *
 * @param connection the number of the connection, unique within its client
 * @param requests how many requests it has carried, this one included
 * @param idleMillis how long it had been idle before this request, in milliseconds; zero for the
 *     first one
 */
public record ConnectionUse(long connection, int requests, long idleMillis) {
    /** No connection was open yet. */
    public static final ConnectionUse NONE = new ConnectionUse(0, 0, 0);
}
