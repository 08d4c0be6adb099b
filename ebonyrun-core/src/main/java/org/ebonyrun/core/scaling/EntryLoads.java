package org.ebonyrun.core.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;

/**
 * The loads that the entries recorded in the shared store, as the holder of the duties read them.
 *
 * <p>The age of a record is the time since its revision was first seen here, so it doesn't depend
 * on the entries' clocks. Invariant: a record that is missing from a reading was removed by an
 * entry without load; a record that can't be read keeps its last figures and grows old.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
public final class EntryLoads {
    /** The age from which a record is old: it still counts, but nothing is given back. */
    public static final long OLD_NANOS = Nanos.ofMillis(15_000);

    /** The age from which the entry of a record counts as dead. */
    public static final long EXPIRED_NANOS = Nanos.ofMillis(60_000);

    // Time without a successful reading after which all records are old.
    private static final long MAX_READ_AGE_NANOS = Nanos.ofMillis(6_000);

    /** The load of one entry; no loads if its record could not be read. */
    public record Report(String entry, long revision, Map<ServiceName, ServiceLoad> loads) {
        /** Copies the loads. */
        public Report {
            loads = Map.copyOf(loads);
        }
    }

    private record Known(long revision, long seenAt, Map<ServiceName, ServiceLoad> loads) {}

    private final Map<String, Known> mKnown = new HashMap<>();
    private boolean mRead;
    private long mReadAt;

    /**
     * Handles a reading of all records.
     *
     * @param reports the records that could be read
     * @param unreadable the entries whose records could not be read
     */
    public void onRead(List<Report> reports, Set<String> unreadable, long now) {
        Set<String> present = new HashSet<>(unreadable);
        for (Report report : reports) {
            present.add(report.entry());
            Known known = mKnown.get(report.entry());
            if (known == null || known.revision() != report.revision()) {
                mKnown.put(report.entry(), new Known(report.revision(), now, report.loads()));
            }
        }
        for (String entry : unreadable) {
            mKnown.putIfAbsent(entry, new Known(0, now - OLD_NANOS - 1, Map.of()));
        }
        mKnown.keySet().retainAll(present);
        mRead = true;
        mReadAt = now;
    }

    /** Returns the load of a service at all entries. */
    public ServiceLoad total(ServiceName service) {
        ServiceLoad total = ServiceLoad.NONE;
        for (Known known : mKnown.values()) {
            total = total.plus(known.loads().getOrDefault(service, ServiceLoad.NONE));
        }
        return total;
    }

    /** Returns whether the last reading and all records are recent. */
    public boolean isComplete(long now) {
        return mRead && now - mReadAt <= MAX_READ_AGE_NANOS && oldestNanos(now) <= OLD_NANOS;
    }

    /** Returns the age of the oldest record or of the last reading, in nanoseconds. */
    public long oldestNanos(long now) {
        long oldest = mRead ? now - mReadAt : 0;
        for (Known known : mKnown.values()) {
            oldest = Math.max(oldest, now - known.seenAt());
        }
        return oldest;
    }

    /** Returns the number of entries with a record. */
    public int size() {
        return mKnown.size();
    }

    /** Returns the entries that count as dead, whose records can be removed. */
    public List<String> expired(long now) {
        List<String> expired = new ArrayList<>();
        mKnown.forEach(
                (entry, known) -> {
                    if (now - known.seenAt() > EXPIRED_NANOS) {
                        expired.add(entry);
                    }
                });
        return expired;
    }
}
