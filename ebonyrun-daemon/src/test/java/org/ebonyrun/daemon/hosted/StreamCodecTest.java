package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.ebonyrun.core.stream.SoftwareVersions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamCodecTest {
    private static final Set<String> BOTH = Set.of("v1", "v2");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void versionsAreReadAsTheyWereWritten() {
        SoftwareVersions versions = new SoftwareVersions(BOTH, Set.of("v1"));

        assertThat(StreamCodec.decodeVersions(StreamCodec.encodeVersions(versions)), is(versions));
    }

    @Test
    void versionsWithoutAbsentOnesAreWrittenAsBefore() {
        byte[] encoded = StreamCodec.encodeVersions(SoftwareVersions.of(BOTH));

        assertThat(
                new String(encoded, StandardCharsets.UTF_8), is("{\"versions\":[\"v1\",\"v2\"]}"));
        assertThat(StreamCodec.decodeVersions(encoded), is(SoftwareVersions.of(BOTH)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "x", "{\"versions\":1}", "{\"versions\":[],\"absent\":[\"v1\"]}"})
    void malformedVersionsAreRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> StreamCodec.decodeVersions(bytes(text)));
    }
}
