package org.ebonyrun.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SoftwareTableTest {
    private static final long MAX_IDLE = 100;

    private final SoftwareTable mTable = new SoftwareTable();

    @ParameterizedTest
    @CsvSource({"v1, 100, true", "v1, 101, false", "v2, 0, false"})
    void aVersionIsAnnouncedWhileItIsInUse(String version, long idle, boolean announced) {
        mTable.setStored(SoftwareVersions.of(Set.of("v1")), 1, 0);

        assertThat(mTable.use(version, MAX_IDLE, idle), is(announced));
        assertThat(mTable.use(version, MAX_IDLE, idle + MAX_IDLE), is(announced));
    }

    @Test
    void anOlderReadChangesNothing() {
        SoftwareVersions both = SoftwareVersions.of(Set.of("v1", "v2"));
        mTable.setStored(both, 2, 0);

        assertThat(mTable.setStored(SoftwareVersions.of(Set.of("v1")), 1, 0), is(false));
        assertThat(mTable.stored(), is(both));
    }

    @Test
    void aVersionThatComesBackIsPresent() {
        mTable.setStored(SoftwareVersions.of(Set.of("v1", "v2")), 1, 0);
        mTable.setPresent(Set.of("v2"), 0);
        assertThat(mTable.absentFor(50, 50), is(Set.of("v1")));
        mTable.setPresent(Set.of("v1", "v2"), 60);
        mTable.setPresent(Set.of("v2"), 70);

        assertThat(mTable.absentFor(50, 119), is(Set.of()));
        assertThat(mTable.absentFor(50, 120), is(Set.of("v1")));
    }

    @Test
    void aNewRevisionBeginsTheTimeOfAbsenceAnew() {
        SoftwareVersions both = SoftwareVersions.of(Set.of("v1", "v2"));
        mTable.setStored(both, 1, 0);
        mTable.setPresent(Set.of("v2"), 0);
        mTable.setStored(both, 1, 40);
        assertThat(mTable.absentFor(50, 50), is(Set.of("v1")));
        mTable.setStored(both, 2, 60);
        mTable.setPresent(Set.of("v2"), 70);

        assertThat(mTable.absentFor(50, 119), is(Set.of()));
        assertThat(mTable.absentFor(50, 120), is(Set.of("v1")));
    }

    @Test
    void anAbsentVersionIsAnnouncedAgainBeforeItIsUsed() {
        Set<String> both = Set.of("v1", "v2");
        mTable.setStored(new SoftwareVersions(both, Set.of("v1")), 1, 0);
        assertThat(mTable.use("v1", MAX_IDLE, 0), is(false));
        assertThat(mTable.use("v2", MAX_IDLE, 0), is(true));

        mTable.announce("v1");
        assertThat(mTable.announced(), is(SoftwareVersions.of(both)));
        mTable.setStored(mTable.announced(), 2, 0);
        assertThat(mTable.use("v1", MAX_IDLE, 0), is(true));
    }
}
