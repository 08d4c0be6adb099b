package org.ebonyrun.ports.http;

/**
 * Also accepts the response to an earlier request of the same kind, which is older but still valid.
 *
 * @param poolKey the kind of request
 */
record RequestKindCorrelation(String poolKey) implements Correlation {}
