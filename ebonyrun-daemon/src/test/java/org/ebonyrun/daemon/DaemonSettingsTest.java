package org.ebonyrun.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonSettingsTest {
    private static final String VALID =
            """
            role: endpoint
            vm: sampler-1
            failure_domain: hall-a
            listen: {link: "10.0.0.5:7100", http: "10.0.0.5:8100"}
            platform:
              key_value: "http://10.0.0.9:7000"
              vms: "http://10.0.0.9:7000"
              weights: "http://10.0.0.9:7000"
            endpoint: {service: models, kind: engine, address: "http://10.0.0.5:7001"}
            limits: {held_samples: 8MB, drain: 30s}
            """;

    @Test
    void acceptsValidSettings() {
        DaemonSettings.Parsed parsed = DaemonSettings.parse("file", VALID);
        assertThat(parsed.problems(), empty());
        assertThat(parsed.settings().maxHeldBytes(), is(8L << 20));
        assertThat(parsed.settings().drainMillis(), is(30_000L));
        assertThat(parsed.settings().isEntry(), is(false));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "role: endpoint|role: chief|is not a role",
                "vm: sampler-1|vm: a b|is not a valid name",
                "vm: sampler-1|vms: x|unknown key",
                "10.0.0.5:7100|10.0.0.5|is not an address",
                "10.0.0.5:8100|10.0.0.5:88100|above 65535",
                "http://10.0.0.5:7001|ftp://x|is not an address",
                "kind: engine|kind: motor|is not a kind",
                "8MB|8|is not a size",
                "role: endpoint|role: entry|only the role endpoint has it"
            })
    void reportsEachProblem(String from, String to, String message) {
        String text = VALID.replace(from, to);
        assertThat(
                DaemonSettings.parse("file", text).problems().toString(), containsString(message));
    }
}
