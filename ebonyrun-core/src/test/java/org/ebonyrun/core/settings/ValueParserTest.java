package org.ebonyrun.core.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ValueParserTest {
    @ParameterizedTest
    @CsvSource({"200ms,200", "5s,5000", "2 min,120000", "1h,3600000"})
    void parsesDurations(String text, long millis) {
        assertThat(ValueParser.parseMillis(text), is(millis));
    }

    @ParameterizedTest
    @CsvSource({"4 versions,4", "1 version,1", "0versions,0"})
    void parsesVersions(String text, long versions) {
        assertThat(ValueParser.parseVersions(text), is(versions));
    }

    @ParameterizedTest
    @CsvSource({"1KB,1024", "2MB,2097152", "1GB,1073741824"})
    void parsesSizes(String text, long bytes) {
        assertThat(ValueParser.parseBytes(text), is(bytes));
    }

    @ParameterizedTest
    @ValueSource(strings = {"200", "ms", "-1s", "1.5s", "5 parsecs", "99999999999s"})
    void rejectsInvalidDurations(String text) {
        assertThrows(IllegalArgumentException.class, () -> ValueParser.parseMillis(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "1", "1.2", "-0.5", "NaN", "most"})
    void rejectsInvalidQuantiles(String text) {
        assertThrows(IllegalArgumentException.class, () -> ValueParser.parseQuantile(text));
    }
}
