package org.ebonyrun.ports.store;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes and removals that take effect atomically if every expectation holds.
 *
 * <p>Immutable and thread safe.
 *
 * @param expectations revisions that keys must have
 * @param writes values to write
 * @param removals keys to remove
 */
public record Transaction(
        List<Expectation> expectations, List<Write> writes, List<String> removals) {
    /** The revision of a key that does not exist. */
    public static final long ABSENT = 0;

    /** The maximum number of entries of a transaction. */
    public static final int MAX_ENTRIES = 32;

    /**
     * A revision that a key must have.
     *
     * @param key the key
     * @param revision its revision, or {@link #ABSENT}
     */
    public record Expectation(String key, long revision) {}

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the key is attached to; zero for none
     */
    public record Write(String key, byte[] value, long lease) {}

    /** Copies the lists. */
    public Transaction {
        expectations = List.copyOf(expectations);
        writes = List.copyOf(writes);
        removals = List.copyOf(removals);
    }

    /** Creates a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a transaction. Not thread safe. */
    public static final class Builder {
        private final List<Expectation> mExpectations = new ArrayList<>();
        private final List<Write> mWrites = new ArrayList<>();
        private final List<String> mRemovals = new ArrayList<>();

        private Builder() {}

        /** Adds the expectation that a key has a revision. */
        public Builder expect(String key, long revision) {
            mExpectations.add(new Expectation(key, revision));
            return this;
        }

        /** Adds a write of a key that does not expire. */
        public Builder write(String key, byte[] value) {
            return write(key, value, 0);
        }

        /** Adds a write of a key that is attached to a lease. */
        public Builder write(String key, byte[] value, long lease) {
            mWrites.add(new Write(key, value, lease));
            return this;
        }

        /** Adds the removal of a key. */
        public Builder remove(String key) {
            mRemovals.add(key);
            return this;
        }

        /**
         * Returns the transaction.
         *
         * @throws IllegalStateException if it has more than {@link #MAX_ENTRIES} entries
         */
        public Transaction build() {
            int entries = mExpectations.size() + mWrites.size() + mRemovals.size();
            checkState(entries <= MAX_ENTRIES, "transaction has too many entries: %s", entries);
            return new Transaction(mExpectations, mWrites, mRemovals);
        }
    }
}
