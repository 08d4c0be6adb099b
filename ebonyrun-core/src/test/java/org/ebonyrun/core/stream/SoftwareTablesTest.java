package org.ebonyrun.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class SoftwareTablesTest {
    /** A store that answers at once, and counts its calls. */
    private final class Store implements StreamOriginOutputs {
        SoftwareVersions mVersions = SoftwareVersions.NONE;
        long mRevision = 1;
        int mReads;
        int mWrites;

        @Override
        public void readTable(ServiceName service) {
            mReads++;
            mTables.onTable(service, mVersions, mRevision, mNow);
        }

        @Override
        public void writeTable(ServiceName service, SoftwareVersions versions, long revision) {
            mWrites++;
            mVersions = versions;
            mRevision++;
            mTables.onTable(service, mVersions, mRevision, mNow);
        }

        @Override
        public void readTableFor(long lookup, ServiceName service) {}

        @Override
        public void readRecords(long lookup, StreamId stream) {}

        @Override
        public void writeRecords(Map<Integer, Map<StreamId, StreamOrigin>> buckets) {}

        @Override
        public void countEntries() {}

        @Override
        public boolean isStoreAvailable() {
            return true;
        }

        @Override
        public void onResolved(long lookup, @Nullable StreamOrigin origin, String reason) {}

        @Override
        public void onTableChanged(ServiceName service, SoftwareVersions versions) {}
    }

    private final Store mStore = new Store();
    private final SoftwareTables mTables = new SoftwareTables(Fleet.create(), mStore);
    private long mNow;

    private StreamAdmission admit(String software) {
        EndpointRecord record = EndpointFixtures.recordWithSoftware("e", 8, 1, software);
        mTables.admit(record, mNow);
        return mTables.admit(record, mNow);
    }

    @Test
    void aVersionBeyondTheMaximumIsDeniedWithoutABusyLoop() {
        mStore.mVersions =
                SoftwareVersions.of(
                        IntStream.range(0, SoftwareTables.MAX_VERSIONS)
                                .mapToObj(i -> "v" + i)
                                .collect(Collectors.toSet()));
        for (int second = 0; second < 60; second++) {
            for (int stream = 0; stream < 100; stream++) {
                mNow = Nanos.ofMillis(1_000 * second + 10 * stream);
                assertThat(admit("further"), is(StreamAdmission.DENIED));
            }
        }
        assertThat(mStore.mWrites, is(0));
        assertThat(mStore.mReads, lessThanOrEqualTo(7));

        mStore.mVersions = mStore.mVersions.without(Set.of("v0"));
        mStore.mRevision++;
        mNow += Nanos.ofMillis(10_000);
        assertThat(admit("further"), is(StreamAdmission.ADMITTED));
    }

    @Test
    void longVersionsAreAbbreviatedAndToldApart() {
        String beginning = "v".repeat(10_000);
        assertThat(admit(beginning + "1"), is(StreamAdmission.ADMITTED));
        assertThat(admit(beginning + "2"), is(StreamAdmission.ADMITTED));
        assertThat(mStore.mVersions.announced().size(), is(2));
        for (String version : mStore.mVersions.announced()) {
            assertThat(version.length(), lessThanOrEqualTo(StreamOrigin.MAX_SOFTWARE_LENGTH));
        }

        EndpointRecord first = EndpointFixtures.recordWithSoftware("e", 8, 1, beginning + "1");
        EndpointRecord second = EndpointFixtures.recordWithSoftware("f", 8, 1, beginning + "2");
        assertThat(StreamOrigin.of(first).includes(first), is(true));
        assertThat(StreamOrigin.of(first), is(not(StreamOrigin.of(second))));
        assertThat(StreamOrigin.of(first).includes(second), is(false));
    }
}
