package org.ebonyrun.core.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.BitSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.ebonyrun.base.id.TrainerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CursorTest {
    private static final TrainerId TRAINER = TrainerId.of("trainer");

    @Test
    void decodesItsEncodedForm() {
        Cursor cursor = cursor(3, 0, 2);
        Cursor decoded = Cursor.decode(cursor.encode(), TRAINER, 7).orThrow();
        assertThat(decoded.slots(), is(cursor.slots()));
        assertThat(decoded.totalSlots(), is(3));
        assertThat(decoded.isComplete(), is(false));
        assertThat(decoded.withSlots(bits(1)).isComplete(), is(true));
    }

    @Test
    void decodesEmptyTextAsEmptyCursor() {
        assertThat(Cursor.decode("", TRAINER, 7).orThrow().slotCount(), is(0));
    }

    @Test
    void rejectsCursorsOfOtherStepsAndTrainers() {
        String text = cursor(3, 1).encode();
        assertThat(Cursor.decode(text, TRAINER, 8).isOk(), is(false));
        assertThat(Cursor.decode(text, TrainerId.of("other"), 7).isOk(), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"AAAA", "!!", "AAAAAAAAAAAAAAAAAAAA", "=", "ÄÄÄÄ"})
    void rejectsMalformedText(String text) {
        assertThat(Cursor.decode(text, TRAINER, 7).isOk(), is(false));
    }

    @Property(tries = 100_000, seed = "1")
    void neverThrowsOnMalformedText(@ForAll String text) {
        Cursor.decode(text, TRAINER, 7).fold(cursor -> 1, fault -> 0);
    }

    private static Cursor cursor(int total, int... slots) {
        return Cursor.empty(TRAINER, 7, total).withSlots(bits(slots));
    }

    private static BitSet bits(int... slots) {
        BitSet set = new BitSet();
        for (int slot : slots) {
            set.set(slot);
        }
        return set;
    }
}
