package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DescriptorLimitTest {
    private static final int FALLBACK = 7;

    @ParameterizedTest
    @CsvSource({
        "'Max open files            512                  4096                 files', 512",
        "'Max open files            unlimited            unlimited            files', 7",
        "'Max processes             512                  4096                 processes', 7"
    })
    void readsTheLimitInForce(String line, int expected) {
        assertThat(DescriptorLimit.parse(List.of("Limit", line), FALLBACK), is(expected));
    }

    @ParameterizedTest
    @CsvSource({"100, 100, 0", "0, 0, 1", "many, 0, 1"})
    void theSettingsMayLowerTheLimit(String text, int expected, int problems) {
        HostedSettings.Parsed parsed =
                HostedSettings.parse(
                        "f",
                        HostedSettingsTest.COMPLETE_SETTINGS.replace(
                                "contact_within: 3s", "contact_within: 3s, descriptors: " + text));

        assertThat(parsed.problems().size(), is(problems));
        if (problems == 0) {
            assertThat(parsed.settings().limits().descriptors(), is(expected));
        }
    }

    @Test
    void aLineWithoutALimitIsSkipped() {
        assertThat(DescriptorLimit.parse(List.of(), FALLBACK), is(FALLBACK));
    }
}
