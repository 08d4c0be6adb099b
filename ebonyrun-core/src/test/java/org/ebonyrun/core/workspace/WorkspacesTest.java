package org.ebonyrun.core.workspace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WorkspacesTest {
    private static final String KEY = "yx5x42q492cqf75rjvz4";
    private static final String SECOND_KEY = "8wuakn2ftimaj3nr26tt";
    private static final String OTHER_KEY = "zz9plural7alpha00000";
    private static final long MAX_SILENCE = Nanos.ofMillis(5_000);

    private static Workspace workspace(String name) {
        return new Workspace(WorkspaceName.of(name), OptionalInt.empty());
    }

    private static Workspaces.Builder two() {
        return Workspaces.builder()
                .add(workspace("one"), List.of(KEY, SECOND_KEY))
                .add(workspace("other"), List.of(OTHER_KEY));
    }

    @ParameterizedTest
    @CsvSource({
        "yx5x42q492cqf75rjvz4, one",
        "8wuakn2ftimaj3nr26tt, one",
        "zz9plural7alpha00000, other",
        "yx5x42q492cqf75rjvz5, ",
        "YX5X42Q492CQF75RJVZ4, ",
        "yx5x42q492cqf75rjvz, ",
        "'', "
    })
    void findsTheWorkspaceOfAKey(String key, @Nullable String name) {
        Optional<String> found =
                two().build().find(KeyDigest.of(key)).map(found1 -> found1.name().value());

        assertThat(found, is(Optional.ofNullable(name)));
    }

    @Test
    void countsWorkspacesAndKeys() {
        assertThat(two().build().size(), is(2));
        assertThat(two().build().keyCount(), is(3));
        assertThat(Workspaces.none().isEnabled(), is(false));
        assertThat(Workspaces.builder().build().isEnabled(), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"one", "third"})
    void rejectsNamesakesSharedAndEmptyKeysWithoutShowingKeys(String name) {
        for (String key : List.of(OTHER_KEY, "", " ")) {
            IllegalArgumentException error =
                    assertThrows(
                            IllegalArgumentException.class,
                            () -> two().add(workspace(name), List.of(key)));

            assertThat(error.getMessage(), containsString("'" + name + "'"));
            assertThat(error.getMessage(), not(containsString(OTHER_KEY)));
        }
    }

    @Test
    void acceptsAKeyThatItsWorkspaceListsTwice() {
        Workspaces workspaces =
                Workspaces.builder().add(workspace("one"), List.of(KEY, KEY)).build();

        assertThat(workspaces.keyCount(), is(1));
    }

    @ParameterizedTest
    @CsvSource({
        "yx5x42q492cqf75rjvz4, true",
        "Token yx5x42q492cqf75rjvz4, true",
        "'a=1; key=yx5x42q492cqf75rjvz4', true",
        "'\"yx5x42q492cqf75rjvz4\"', true",
        "yx5x42q492cqf75rjvz4:, true",
        "yx5x42q492cqf75rjvz5, false",
        "xyx5x42q492cqf75rjvz4, false",
        "'540,400', false",
        "'', false"
    })
    void tellsWhetherATextMentionsAKey(String text, boolean mentions) {
        assertThat(two().build().mentionsKey(text), is(mentions));
        assertThat(Workspaces.none().mentionsKey(text), is(false));
    }

    @Test
    void digestsAreEqualForEqualKeysAndShowNothing() {
        assertThat(KeyDigest.of(KEY), is(KeyDigest.of(KEY)));
        assertThat(KeyDigest.of(KEY).hashCode(), is(KeyDigest.of(KEY).hashCode()));
        assertThat(KeyDigest.of(KEY), is(not(KeyDigest.of(SECOND_KEY))));
        assertThat(KeyDigest.of(KEY).toString(), is(KeyDigest.of(SECOND_KEY).toString()));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "7, 7", ", 3"})
    void priorityOfAWorkspaceReplacesThatOfTheRoute(@Nullable Integer own, int expected) {
        OptionalInt priority = own == null ? OptionalInt.empty() : OptionalInt.of(own);
        Route route =
                EndpointFixtures.route(
                        RouteKind.ONCE, new CallOptions(800, 150, 1, 3), StepOptions.NONE);
        Route applied = new Workspace(WorkspaceName.of("one"), priority).applyTo(route);

        assertThat(applied.call().priority(), is(expected));
        assertThat(applied.withPriority(3), is(route));
    }

    @ParameterizedTest
    @CsvSource({
        // strict, public, key, silence in ms, outcome, workspace
        "false, false, yx5x42q492cqf75rjvz4, 0, ADMITTED, one",
        "false, false, yx5x42q492cqf75rjvz4, 60000, ADMITTED, one",
        "false, false, unknown, 0, UNKNOWN_KEY, ",
        "false, false, unknown, 60000, UNKNOWN_KEY, ",
        "false, false, , 0, UNKNOWN_KEY, ",
        "false, true, , 0, ADMITTED, ",
        "false, true, unknown, 0, ADMITTED, ",
        "false, true, zz9plural7alpha00000, 0, ADMITTED, other",
        "true, false, yx5x42q492cqf75rjvz4, 4999, ADMITTED, one",
        "true, false, yx5x42q492cqf75rjvz4, 5000, OUTDATED, ",
        "true, false, unknown, 5000, OUTDATED, ",
        "true, false, , 5000, UNKNOWN_KEY, ",
        "true, true, , 5000, ADMITTED, ",
        "true, true, yx5x42q492cqf75rjvz4, 5000, ADMITTED, ",
        "true, true, yx5x42q492cqf75rjvz4, 4999, ADMITTED, one",
    })
    void decidesAboutCalls(
            boolean strict,
            boolean isPublic,
            @Nullable String key,
            long silenceMillis,
            Admission.Outcome outcome,
            @Nullable String workspace) {
        AdmissionPolicy policy = new AdmissionPolicy(strict, MAX_SILENCE);
        Optional<KeyDigest> digest = Optional.ofNullable(key).map(KeyDigest::of);
        long silence = Nanos.ofMillis(silenceMillis);
        Admission admission = policy.decide(two().build(), isPublic, digest, silence);

        assertThat(admission.outcome(), is(outcome));
        assertThat(
                Optional.ofNullable(admission.workspaceName()).map(WorkspaceName::value),
                is(Optional.ofNullable(workspace)));
        Admission open = policy.decide(Workspaces.none(), isPublic, digest, silence);
        assertThat(open, is(new Admission(Admission.Outcome.ADMITTED, null)));
    }
}
