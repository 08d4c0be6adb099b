package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SseDataParserTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 100})
    void parsesEventsRegardlessOfHowTheBytesAreSplit(int size) {
        byte[] stream =
                ": note\nevent: x\ndata: a\u00e4\n\ndata:b\r\n\n".getBytes(StandardCharsets.UTF_8);
        List<String> events = new ArrayList<>();
        SseDataParser parser = SseDataParser.create(events::add);
        for (int from = 0; from < stream.length; from += size) {
            int to = Math.min(stream.length, from + size);
            assertThat(parser.feed(Arrays.copyOfRange(stream, from, to)), is(true));
        }
        assertThat(events, contains("a\u00e4", "b"));
    }

    @org.junit.jupiter.api.Test
    void reportsLineThatIsTooLong() {
        SseDataParser parser = SseDataParser.create(event -> {});
        assertThat(parser.feed(new byte[(1 << 20) + 1]), is(false));
    }

    @Property(tries = 100_000, seed = "1")
    void neverThrowsOnArbitraryBytes(@ForAll byte[] bytes) {
        SseDataParser.create(event -> {}).feed(bytes);
    }
}
