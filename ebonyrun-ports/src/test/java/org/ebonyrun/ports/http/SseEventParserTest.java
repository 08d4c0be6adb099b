package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class SseEventParserTest {
    private static final int ENDLESS_BYTES = 1 << 20;

    private final List<SseEvent> mEvents = new ArrayList<>();
    private final SseEventParser mParser = SseEventParser.create(mEvents::add);

    private void feed(String text) {
        mParser.feed(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void parsesIdDataAndOtherFields() {
        feed("x-weight-versions: 7\nid: 3\ndata: a\ndata: b\n\n");

        assertThat(mEvents, contains(new SseEvent(3, "a\nb", Map.of("x-weight-versions", "7"))));
        assertThat(mParser.isBetweenEvents(), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 3\ndata: a\n", "id: 3\ndata", "data: a", "id: 3\n"})
    void incompleteEventIsNotPassedToTheSink(String text) {
        feed(text);

        assertThat(mEvents, is(empty()));
        assertThat(mParser.isBetweenEvents(), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "-1", "99999999999", "1.5", ""})
    void invalidIdIsIgnored(String number) {
        feed("id: " + number + "\ndata: a\n\n");

        assertThat(mEvents.get(0).id(), is(-1L));
    }

    /** Streams that go on without an end of the line or of the event. */
    static List<String> endlessPieces() {
        return List.of("x", "data: xxxxxxxxxxxx\n", "data:\n", "field-%d: x\n", "%d\n");
    }

    @ParameterizedTest
    @MethodSource("endlessPieces")
    void anEventWithoutEndMakesTheStreamInvalid(String piece) {
        int accepted = 0;
        for (int i = 0; i < ENDLESS_BYTES / piece.length(); i++) {
            byte[] bytes = String.format(piece, i).getBytes(StandardCharsets.UTF_8);
            if (!mParser.feed(bytes)) {
                break;
            }
            accepted += bytes.length;
        }

        assertThat(accepted, lessThanOrEqualTo(SseEventParser.MAX_EVENT_BYTES));
        assertThat(mParser.feed("\n\n".getBytes(StandardCharsets.UTF_8)), is(false));
        assertThat(mEvents, is(empty()));
    }

    @Test
    void manyEventsAndCommentsAreNoEndlessEvent() {
        byte[] bytes = ("id: 1\ndata: " + "x".repeat(1_000) + "\n\n: ping\n").getBytes();
        boolean valid = true;
        for (int i = 0; i < ENDLESS_BYTES / bytes.length; i++) {
            valid &= mParser.feed(bytes);
        }

        assertThat(valid, is(true));
    }

    @Property(seed = "1", tries = 2000)
    void eventsDoNotDependOnHowTheBytesAreSplit(@ForAll byte[] bytes, @ForAll int cut) {
        List<SseEvent> unsplit = new ArrayList<>();
        SseEventParser.create(unsplit::add).feed(bytes);
        List<SseEvent> split = new ArrayList<>();
        SseEventParser parser = SseEventParser.create(split::add);
        int at = Math.floorMod(cut, bytes.length + 1);
        parser.feed(java.util.Arrays.copyOfRange(bytes, 0, at));
        parser.feed(java.util.Arrays.copyOfRange(bytes, at, bytes.length));

        assertThat(split, is(unsplit));
    }
}
