package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConnectionLimitTest {
    private record Connection(boolean isBusy, boolean hasServed, long lastActiveAt)
            implements ConnectionLimit.Candidate {}

    private static final int SEEDS = 50;
    private static final Connection BUSY = new Connection(true, false, 0);
    private static final Connection USED = new Connection(false, true, 1);
    private static final Connection NEW = new Connection(false, false, 5);
    private static final Connection SILENT = new Connection(false, false, 3);

    @Test
    void connectionsWithoutARequestEndFirstAndBusyOnesNever() {
        ConnectionLimit limit = new ConnectionLimit(3 * 64);

        assertThat(
                limit.chooseEnded(List.of(BUSY, USED, NEW, SILENT)), contains(SILENT, NEW, USED));
        assertThat(new ConnectionLimit(1).chooseEnded(List.of(USED, NEW)), contains(NEW));
        assertThat(limit.chooseEnded(List.of(BUSY)), is(empty()));
    }

    /** A connection that is used by other threads. */
    private record UsedConnection(Random random) implements ConnectionLimit.Candidate {
        @Override
        public boolean isBusy() {
            return false;
        }

        @Override
        public boolean hasServed() {
            return random.nextBoolean();
        }

        @Override
        public long lastActiveAt() {
            return random.nextInt();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 3_000})
    void connectionsMayBeUsedMeanwhile(int count) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<UsedConnection> connections =
                    Stream.generate(() -> new UsedConnection(random)).limit(count).toList();

            assertThat(new ConnectionLimit(128).chooseEnded(connections).size(), is(2));
        }
    }

    @ParameterizedTest
    @CsvSource({"4100, 3075", "512, 384", "1, 1"})
    void aQuarterOfTheDescriptorsIsLeftToOthers(int descriptors, int expected) {
        ConnectionLimit limit = ConnectionLimit.ofDescriptors(descriptors);

        assertThat(limit.maxConnections(), is(expected));
        assertThat(limit.isReached(expected - 1), is(false));
        assertThat(limit.isReached(expected), is(true));
    }
}
