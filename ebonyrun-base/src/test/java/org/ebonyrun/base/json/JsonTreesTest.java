package org.ebonyrun.base.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreesTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "{\"a\":[1,2.5,-3],\"b\":{\"c\":\"\\u00e4\\n\\\"\"},\"d\":null,\"e\":true}",
                "123456789012345678901234567890",
                "\"text\"",
                "false"
            })
    void preservesValuesInRoundTrips(String text) {
        byte[] once = JsonTrees.write(JsonTrees.read(bytes(text)));
        byte[] twice = JsonTrees.write(JsonTrees.read(once));

        assertThat(JsonTrees.read(twice), is(JsonTrees.read(bytes(text))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "{", "[1", "{\"a\"}", "{} {}", "nul", "[1,]", "{\"a\":}"})
    void rejectsTextThatIsNotExactlyOneValue(String text) {
        assertThrows(IllegalArgumentException.class, () -> JsonTrees.read(bytes(text)));
    }

    @ParameterizedTest
    @ValueSource(ints = {1_001, 100_000})
    void rejectsDeepNesting(int depth) {
        byte[] nested = bytes("[".repeat(depth));

        assertThrows(IllegalArgumentException.class, () -> JsonTrees.read(nested));
    }

    @Property(seed = "1", tries = 5000)
    void throwsOnlyTheDeclaredExceptionForArbitraryBytes(@ForAll byte[] text) {
        try {
            JsonTrees.read(text);
        } catch (RuntimeException e) {
            assertThat(e, instanceOf(IllegalArgumentException.class));
        }
    }
}
