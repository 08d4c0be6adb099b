package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CorrelationTest {
    private static final InetSocketAddress ADDRESS =
            InetSocketAddress.createUnresolved("10.0.0.1", 80);
    private static final URI PEER = URI.create("http://10.0.0.1:80/");

    static Stream<HttpRequest> plainRequests() {
        return Stream.of(
                HttpRequest.of("GET", ADDRESS, "/", 1),
                HttpRequest.of("GET", PEER, 1),
                HttpRequest.json("POST", PEER, new byte[0], 1),
                HttpRequest.json("POST", ADDRESS, "/", new byte[0], 1),
                HttpRequest.to("POST", PEER, Map.of(), new byte[0], 1),
                new HttpRequest("GET", ADDRESS, "/", HttpHeaders.empty(), new byte[0], 1));
    }

    @ParameterizedTest
    @MethodSource("plainRequests")
    void theOrderOfResponsesIsTrustedOnlyOnDemand(HttpRequest request) {
        assertThat(request.sharesConnection(), is(false));
        assertThat(request.withCorrelation(Correlation.byOrder()).sharesConnection(), is(true));
    }

    @Test
    void requestsOfDifferentCorrelationsShareNoConnection() {
        List<Correlation> correlations =
                List.of(
                        Correlation.byOrder(),
                        Correlation.byHeader("X-Id", "1"),
                        Correlation.byKind("state"),
                        Correlation.byKind("metrics"));
        Set<String> keys = new HashSet<>();
        correlations.forEach(correlation -> keys.add(correlation.poolKey()));

        assertThat(keys.size(), is(correlations.size()));
    }
}
