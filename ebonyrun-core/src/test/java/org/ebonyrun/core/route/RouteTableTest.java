package org.ebonyrun.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static final ServiceName A = ServiceName.of("a");
    private static final ServiceName B = ServiceName.of("b");

    private static Route route(
            String name, String host, String prefix, WeightedService... services) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                List.of(services),
                new CallOptions(1_000, 100, 2, 0),
                StepOptions.NONE);
    }

    private static RouteTable table() {
        return RouteTable.of(
                7,
                List.of(
                        route("short", "x.example", "/a/", new WeightedService(A, 1)),
                        route("long", "x.example", "/a/b/", new WeightedService(B, 1)),
                        route("other", "y.example", "/a/", new WeightedService(B, 1))),
                Set.of(A),
                RouteTable.empty().limits());
    }

    @ParameterizedTest
    @CsvSource({
        "x.example, /a/1, short",
        "x.example, /a/b/1, long",
        "X.Example:8080, /a/b/, long",
        "y.example, /a/b/1, other",
        "x.example, /a, none",
        "z.example, /a/1, none"
    })
    void findsTheRouteWithTheLongestPrefixOfTheHost(String host, String path, String expected) {
        Optional<Route> found = table().find(host, path);

        assertThat(found.map(Route::name).orElse("none"), is(expected));
    }

    @Test
    void picksServicesByWeight() {
        Route split = route("s", "x", "/", new WeightedService(A, 90), new WeightedService(B, 10));
        Random random = new Random(1);
        int pickedA = 0;
        for (int i = 0; i < 10_000; i++) {
            pickedA += split.pickService(random).equals(A) ? 1 : 0;
        }

        assertThat(Math.abs(pickedA - 9_000) < 200, is(true));
    }

    @Test
    void isEmptyBeforeTheFirstConfiguration() {
        assertThat(RouteTable.empty().isConfigured(), is(false));
        assertThat(table().isConfigured(), is(true));
        assertThat(table().isEngine(A), is(true));
        assertThat(table().isEngine(B), is(false));
    }
}
