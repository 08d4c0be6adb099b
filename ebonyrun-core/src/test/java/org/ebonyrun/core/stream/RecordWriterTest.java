package org.ebonyrun.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecordWriterTest {
    private static final double STORE_WRITES_PER_SECOND = 400;
    private static final long SECONDS = 60;
    private static final long TICK_NANOS = Nanos.ofMillis(20);

    private static final class Store implements StreamOriginOutputs {
        int mWrites;

        @Override
        public void readTable(ServiceName service) {}

        @Override
        public void writeTable(ServiceName service, SoftwareVersions versions, long revision) {}

        @Override
        public void readTableFor(long lookup, ServiceName service) {}

        @Override
        public void readRecords(long lookup, StreamId stream) {}

        @Override
        public void writeRecords(Map<Integer, Map<StreamId, StreamOrigin>> buckets) {
            mWrites++;
        }

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

    private static StreamOrigin origin() {
        return new StreamOrigin(ServiceName.of("s"), "v1");
    }

    /** A store that refuses every write is asked no more often than one that takes them. */
    @ParameterizedTest
    @CsvSource({"5, true", "40, true", "200, true", "5, false", "40, false", "200, false"})
    void failedWritesKeepToTheShareOfTheStore(int entries, boolean counted) {
        Store store = new Store();
        StreamRecords records = new StreamRecords(100);
        RecordWriter writer = new RecordWriter(records, STORE_WRITES_PER_SECOND, store);
        writer.setEnabled(true, 0);
        if (counted) {
            writer.setEntries(entries);
        }
        long end = SECONDS * Nanos.PER_SECOND;
        for (long now = 0; now < end; now += TICK_NANOS) {
            records.add(StreamId.of("h", "r" + now), origin(), end);
            int before = store.mWrites;
            writer.writeIfDue(now);
            if (store.mWrites > before) {
                writer.onFailed(now);
            }
        }
        double share = 0.1 * STORE_WRITES_PER_SECOND * SECONDS / entries;
        double uncounted = SECONDS;

        assertThat((double) store.mWrites, lessThanOrEqualTo(1 + (counted ? share : uncounted)));
    }
}
