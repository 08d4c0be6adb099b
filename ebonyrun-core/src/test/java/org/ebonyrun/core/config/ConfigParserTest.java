package org.ebonyrun.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.stream.Stream;
import org.ebonyrun.base.id.ClassName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigParserTest {
    private static final String SERVICES =
            "services:\n  models: {kind: engine}\n  app: {kind: plain}\nclasses:\n";
    private static final String VALID =
            SERVICES
                    + "  lookup: {service: models, kind: interactive,"
                    + " lateness: {quantile: 0.99, within: 800ms}}\n"
                    + "  order: {service: models, kind: rollout, staleness: 2 versions,"
                    + " trainer_idle: 5s, scored_by: app}\n";

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("", "services and classes are needed"),
                Arguments.of("a: [", "not valid YAML"),
                Arguments.of("services: {}\nclasses: {}\n", "at least one service"),
                Arguments.of(VALID + "extra: 1\n", "unknown key"),
                Arguments.of(VALID.replace("models: {", "models: {weight: 3, "), "state targets"),
                Arguments.of(VALID.replace("app: {", "app: {address: x, "), "state targets"),
                Arguments.of(VALID.replace("interactive,", "interactive, priority: 1,"), "targets"),
                Arguments.of(VALID.replace("interactive", "urgent"), "is not one of"),
                Arguments.of(VALID.replace("service: models", "service: nope"), "no service is"),
                Arguments.of(VALID.replace("800ms", "800"), "is not a duration"),
                Arguments.of(VALID.replace("0.99", "99"), "is not a quantile"),
                Arguments.of(VALID.replace(", within: 800ms", ""), "within: is missing"),
                Arguments.of(VALID.replace("2 versions", "2"), "is not a number of versions"),
                Arguments.of(VALID.replace("staleness: 2 versions, ", ""), "staleness: is missing"),
                Arguments.of(VALID.replace("models, kind: rollout", "app, kind: rollout"), "needs"),
                Arguments.of(VALID.replace("  order:", "  lookup:"), "is given twice"));
    }

    @Test
    void parsesValidFile() {
        ConfigParser.Parsed parsed = ConfigParser.parse("file", VALID, 7);
        assertThat(parsed.problems(), empty());
        assertThat(parsed.config().version(), is(7L));
        ClassSpec order = parsed.config().classSpec(ClassName.of("order")).orElseThrow();
        assertThat(order.stalenessVersions(), is(2L));
        assertThat(order.trainerIdleMillis(), is(5_000L));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void reportsEachProblem(String text, String message) {
        assertThat(
                ConfigParser.parse("file", text, 1).problems().toString(), containsString(message));
    }

    @Test
    void reportsEveryProblemWithItsLine() {
        String text = VALID.replace("0.99", "2").replace("5s", "5");
        ConfigParser.Parsed parsed = ConfigParser.parse("file", text, 1);
        assertThat(parsed.problems(), hasSize(2));
        assertThat(
                parsed.problems().get(0).toString(),
                containsString("file:5: classes.lookup.lateness.quantile"));
        assertThat(parsed.problems().get(1).line(), is(6));
    }
}
