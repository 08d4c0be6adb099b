package org.ebonyrun.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.junit.jupiter.api.Test;

class ResumptionPolicyTest {
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final ServiceName OTHER = ServiceName.of("other");
    private static final StreamOrigin ORIGIN = new StreamOrigin(SERVICE, "v1");

    @Test
    void aStreamOfUnknownOriginIsRefused() {
        assertThat(
                ResumptionPolicy.refusal(null, "no record", Set.of(SERVICE)),
                is(Optional.of("no record")));
    }

    @Test
    void aStreamGoesOnOnlyWhileItsRouteNamesItsService() {
        assertThat(
                ResumptionPolicy.refusal(ORIGIN, "recorded", Set.of(SERVICE, OTHER)),
                is(Optional.empty()));
        assertThat(
                ResumptionPolicy.refusal(ORIGIN, "recorded", Set.of(OTHER)),
                is(Optional.of("the route names another service now")));
    }
}
