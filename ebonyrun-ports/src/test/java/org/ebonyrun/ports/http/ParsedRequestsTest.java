package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.DataChunk;
import org.junit.jupiter.api.Test;

class ParsedRequestsTest {
    private static final byte[] READ = "X-Name: value".getBytes(StandardCharsets.US_ASCII);

    @Test
    void aDetachedRequestRefersToNothingThatWasRead() {
        HttpRequestPacket packet =
                HttpRequestPacket.builder()
                        .method("GET")
                        .uri("/a")
                        .protocol("HTTP/1.1")
                        .host("h")
                        .build();
        DataChunk value = packet.getHeaders().addValue(READ, 0, 6);
        value.setBytes(READ, 8, READ.length);
        packet.getQueryStringDC().setBytes(READ, 8, READ.length);

        ParsedRequests.detach(packet);

        assertThat(value.getByteChunk().getBuffer(), is(nullValue()));
        assertThat(packet.getQueryStringDC().getByteChunk().getBuffer(), is(nullValue()));
        assertThat(packet.getHeaders().getHeader("X-Name"), is("value"));
        assertThat(packet.getQueryString(), is("value"));
        assertThat(packet.getRequestURI(), is("/a"));
        assertThat(packet.getMethod().getMethodString(), is("GET"));
    }
}
