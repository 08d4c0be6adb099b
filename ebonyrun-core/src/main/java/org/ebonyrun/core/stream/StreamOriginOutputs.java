package org.ebonyrun.core.stream;

import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.jspecify.annotations.Nullable;

/** Performs the I/O that a {@link StreamOriginMachine} decides on. Called on its event loop. */
public interface StreamOriginOutputs {
    /**
     * Reads the software versions that are announced for a service; the read is linearizable. Ends
     * with {@link StreamOriginMachine#onTable} or {@link StreamOriginMachine#onTableFailed}.
     */
    void readTable(ServiceName service);

    /**
     * Replaces the announced versions if they still have the given revision. Ends with {@link
     * StreamOriginMachine#onTable}, with the versions that are announced then, or with {@link
     * StreamOriginMachine#onTableFailed}.
     */
    void writeTable(ServiceName service, SoftwareVersions versions, long revision);

    /**
     * Reads the announced versions for a lookup; the read is linearizable. Ends with {@link
     * StreamOriginMachine#onLookupTable} or {@link StreamOriginMachine#onLookupFailed}.
     */
    void readTableFor(long lookup, ServiceName service);

    /**
     * Reads the records that all entries have of a stream; the read is linearizable. Ends with
     * {@link StreamOriginMachine#onRecords} or {@link StreamOriginMachine#onLookupFailed}.
     */
    void readRecords(long lookup, StreamId stream);

    /**
     * Replaces this process's records in the given buckets. Ends with {@link
     * StreamOriginMachine#onRecordsWritten} or {@link StreamOriginMachine#onRecordsFailed}.
     */
    void writeRecords(Map<Integer, Map<StreamId, StreamOrigin>> buckets);

    /**
     * Counts the entries that write records. May end with {@link StreamOriginMachine#onEntries}.
     */
    void countEntries();

    /** Returns whether the shared store is available. */
    boolean isStoreAvailable();

    /**
     * Passes on the result of a lookup.
     *
     * @param origin what began the stream; null if unknown
     * @param reason how the origin was found, or why it was not
     */
    void onResolved(long lookup, @Nullable StreamOrigin origin, String reason);

    /** Called when the versions that are announced for a service have changed. */
    void onTableChanged(ServiceName service, SoftwareVersions versions);
}
