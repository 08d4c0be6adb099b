package org.ebonyrun.ports.http;

import java.util.Optional;

/**
 * Compares a header that the peer repeats in its answer.
 *
 * @param header the name of the header
 * @param id its value in the request
 */
record HeaderCorrelation(String header, String id) implements Correlation {
    @Override
    public Match match(HttpResponseHead head) {
        Optional<String> named = head.headers().first(header);
        if (named.isEmpty()) {
            return Match.UNNAMED;
        }
        return named.get().equals(id) ? Match.OWN : Match.OTHER;
    }

    @Override
    public String poolKey() {
        return header;
    }
}
