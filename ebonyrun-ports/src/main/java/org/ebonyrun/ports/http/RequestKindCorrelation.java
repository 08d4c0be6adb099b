package org.ebonyrun.ports.http;

/**
 * Takes the answer to an earlier request of the same kind as well, which is older but no less true.
 *
 * @param lane what is asked
 */
record RequestKindCorrelation(String lane) implements Correlation {}
