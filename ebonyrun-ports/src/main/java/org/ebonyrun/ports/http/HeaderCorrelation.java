package org.ebonyrun.ports.http;

import java.util.Optional;

/**
 * Identifies responses by a header that the peer echoes.
 *
 * @param header the name of the header
 * @param id the value of the header in the request
 */
record HeaderCorrelation(String header, String id) implements Correlation {
    @Override
    public Match match(HttpResponseHead head) {
        Optional<String> echoed = head.headers().first(header);
        if (echoed.isEmpty()) {
            return Match.UNNAMED;
        }
        return echoed.get().equals(id) ? Match.OWN : Match.OTHER;
    }

    @Override
    public String poolKey() {
        return header;
    }
}
