package org.ebonyrun.core.swap;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EnginePoolsTest {
    private static List<Endpoint> engines(int count, int models) {
        Fleet fleet = Fleet.create();
        for (int i = 0; i < count; i++) {
            String id = "e" + (100 + i);
            fleet.onRecord(EndpointFixtures.record(id, 6, 1));
            for (int m = 1; m < models; m++) {
                fleet.get(id).observeVersion("m" + m, 1);
            }
        }
        return fleet.serving(EndpointFixtures.SERVICE);
    }

    private static List<String> models(int count) {
        List<String> models = new ArrayList<>(List.of(EndpointFixtures.MODEL));
        for (int m = 1; m < count; m++) {
            models.add("m" + m);
        }
        return models;
    }

    @ParameterizedTest
    @CsvSource({
        "6, 2, 1, 6",
        "24, 4, 1, 12",
        "25, 3, 1, 17",
        "24, 4, 0, 6",
        "6, 1, 1, 6",
        "2, 4, 1, 1"
    })
    void poolSizeIsTheModelsShareOfEnginesTimesTheAcceptedVersions(
            int engines, int models, int lag, int expected) {
        for (String model : models(models)) {
            assertThat(
                    EnginePools.poolFor(engines(engines, models), model, lag).size(), is(expected));
        }
    }

    @Test
    void enginesAreInAboutEquallyManyPools() {
        Map<String, Integer> pools = new HashMap<>();
        for (String model : models(4)) {
            EnginePools.poolFor(engines(24, 4), model, 1)
                    .forEach(engine -> pools.merge(engine.id(), 1, Integer::sum));
        }

        assertThat(pools.size(), is(24));
        pools.values()
                .forEach(
                        count -> {
                            assertThat(count, greaterThanOrEqualTo(1));
                            assertThat(count, lessThanOrEqualTo(3));
                        });
    }

    @Test
    void aPoolChangesLittleWhenAnEngineIsRemoved() {
        List<Endpoint> before = engines(24, 4);
        List<Endpoint> after = new ArrayList<>(before.subList(1, before.size()));
        Set<String> poolBefore = new HashSet<>();
        EnginePools.poolFor(before, "m2", 1).forEach(engine -> poolBefore.add(engine.id()));
        long added =
                EnginePools.poolFor(after, "m2", 1).stream()
                        .filter(engine -> !poolBefore.contains(engine.id()))
                        .count();

        assertThat(added, lessThanOrEqualTo(2L));
    }
}
