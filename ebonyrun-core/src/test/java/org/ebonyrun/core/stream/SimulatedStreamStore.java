package org.ebonyrun.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonyrun.base.id.ServiceName;

/** What a simulated store has of software versions and streams. */
final class SimulatedStreamStore {
    /** The versions that are announced for a service. */
    record Table(SoftwareVersions versions, long revision) {
        static final Table ABSENT = new Table(SoftwareVersions.NONE, 0);
    }

    private final Map<ServiceName, Table> mTables = new HashMap<>();
    private final Map<Integer, Map<String, Map<StreamId, StreamOrigin>>> mRecords = new HashMap<>();
    private final List<Long> mTableWrites = new ArrayList<>();
    private long mRevision;

    Table table(ServiceName service) {
        return mTables.getOrDefault(service, Table.ABSENT);
    }

    /** Writes a table if it still has the given revision, and returns what there is then. */
    Table write(ServiceName service, SoftwareVersions versions, long revision, long now) {
        if (table(service).revision() == revision) {
            mTables.put(service, new Table(versions, ++mRevision));
            mTableWrites.add(now);
        }
        return table(service);
    }

    /** Returns when tables were written, in nanoseconds. */
    List<Long> tableWrites() {
        return mTableWrites;
    }

    void writeRecords(String process, Map<Integer, Map<StreamId, StreamOrigin>> buckets) {
        buckets.forEach(
                (bucket, records) ->
                        mRecords.computeIfAbsent(bucket, b -> new TreeMap<>())
                                .put(process, records));
    }

    Set<StreamOrigin> origins(StreamId stream) {
        Set<StreamOrigin> origins = new HashSet<>();
        for (Map<StreamId, StreamOrigin> records :
                mRecords.getOrDefault(stream.bucket(), Map.of()).values()) {
            if (records.containsKey(stream)) {
                origins.add(records.get(stream));
            }
        }
        return origins;
    }

    /** Returns how many processes have written records. */
    int processCount() {
        return mRecords.getOrDefault(0, Map.of()).size();
    }

    /** Removes the records of a process, as the end of its lease does. */
    void endLease(String process) {
        mRecords.values().forEach(bucket -> bucket.remove(process));
    }

    /** Removes the records of all processes. */
    void endLeases() {
        mRecords.clear();
    }
}
