package org.ebonyrun.core.step;

/**
 * The call that scores a finished sample.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param id the ID of the call
 * @param host the host that selects its route
 * @param path the path of the request
 * @param body the body of the request
 */
public record ScoreCall(String id, String host, String path, byte[] body) {}
