package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StepCodecTest {
    @ParameterizedTest
    @CsvSource({"v1, false", "'', false", ", true"})
    void keepsTheOriginOfACheckpoint(@Nullable String software, boolean complete) {
        StreamOrigin origin =
                software == null ? null : new StreamOrigin(ServiceName.of("s"), software);
        SampleCheckpoint text =
                new SampleCheckpoint("a", List.of("d1", "d2"), List.of(1, 2), origin, complete);

        assertThat(StepCodec.checkpoint(StepCodec.checkpoint(List.of(text))), is(List.of(text)));
    }

    @ParameterizedTest
    @CsvSource({"one", "''"})
    void keepsTheWorkspaceOfAManifest(String name) {
        WorkspaceName workspace = name.isEmpty() ? null : WorkspaceName.of(name);
        StepManifest manifest = new StepManifest("h", "/p/", "m", 3, 2, 4, workspace, 1_000);

        assertThat(StepCodec.manifest(StepCodec.manifest(manifest)), is(manifest));
    }

    @Test
    void manifestOfAnOlderReleaseBelongsToNoWorkspaceAndIsOpenToAll() {
        String older =
                "{\"host\":\"h\",\"prefix\":\"/p/\",\"model\":\"m\",\"number\":3,"
                        + "\"min_version\":2,\"samples\":4,\"accepted_at\":1000}";
        StepManifest manifest = StepCodec.manifest(older.getBytes(StandardCharsets.UTF_8));

        assertThat(manifest, is(new StepManifest("h", "/p/", "m", 3, 2, 4, null, 1_000)));
        assertThat(new String(StepCodec.manifest(manifest), StandardCharsets.UTF_8), is(older));
        assertThat(manifest.isAccessibleTo(WorkspaceName.of("one")), is(true));
        assertThat(manifest.isAccessibleTo(null), is(true));
    }
}
