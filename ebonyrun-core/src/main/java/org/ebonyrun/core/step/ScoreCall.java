package org.ebonyrun.core.step;

/**
 * The call that scores a finished sample.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param id the id of the call
 * @param host the host whose route takes it
 * @param path its path
 * @param body its body
 */
public record ScoreCall(String id, String host, String path, byte[] body) {}
