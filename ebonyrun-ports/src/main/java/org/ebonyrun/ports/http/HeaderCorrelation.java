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
    public Owner owner(HttpHead head) {
        Optional<String> named = head.headers().first(header);
        if (named.isEmpty()) {
            return Owner.UNNAMED;
        }
        return named.get().equals(id) ? Owner.OWN : Owner.OTHER;
    }

    @Override
    public String lane() {
        return header;
    }
}
