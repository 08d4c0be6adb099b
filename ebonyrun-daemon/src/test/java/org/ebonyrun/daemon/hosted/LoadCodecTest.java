package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.scaling.ServiceLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadCodecTest {
    @Test
    void loadsAreReadAsTheyWereWritten() {
        Map<ServiceName, ServiceLoad> loads =
                Map.of(
                        ServiceName.of("a"),
                        new ServiceLoad(1.5, 20, 0.25),
                        ServiceName.of("b"),
                        ServiceLoad.NONE);

        assertThat(LoadCodec.decode(LoadCodec.encode(loads)), is(loads));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "7",
                "[]",
                "{\"a\":7}",
                "{\"a\":{\"calls\":1,\"samples\":2}}",
                "{\"a\":{\"calls\":\"1\",\"samples\":2,\"sample_s\":0}}",
                "{\"a\":{\"calls\":-1,\"samples\":2,\"sample_s\":0}}",
                "{\"a\":{\"calls\":1e999,\"samples\":2,\"sample_s\":0}}"
            })
    void malformedLoadsAreRejected(String text) {
        byte[] value = text.getBytes(StandardCharsets.UTF_8);

        assertThrows(IllegalArgumentException.class, () -> LoadCodec.decode(value));
    }
}
