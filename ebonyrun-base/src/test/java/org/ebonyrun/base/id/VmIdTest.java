package org.ebonyrun.base.id;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VmIdTest {
    @ParameterizedTest
    @ValueSource(strings = {"a", "sampler-1", "hall_a.2", "9lives"})
    void acceptsValidNames(String name) {
        assertThat(VmId.of(name).toString(), is(name));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-a", "a b", "a/b", "a\n", "ä"})
    void rejectsInvalidNamesAndQuotesThem(String name) {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> VmId.of(name));
        assertThat(e.getMessage(), containsString("'" + name + "'"));
    }

    @org.junit.jupiter.api.Test
    void rejectsNamesAbove63Characters() {
        assertThrows(IllegalArgumentException.class, () -> VmId.of("x".repeat(64)));
    }
}
