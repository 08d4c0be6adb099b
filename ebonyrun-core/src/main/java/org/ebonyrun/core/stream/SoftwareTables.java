package org.ebonyrun.core.stream;

import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;

/**
 * Announces to all entries at which software versions of a service streams may have begun.
 *
 * <p>Designed for releases, in which two versions serve side by side for minutes: a version costs
 * the store one write when it comes and two when it has gone, however many entries and streams
 * there are.
 *
 * <p>Invariants: a stream is admitted at a version only after the store has acknowledged its
 * announcement. An announcement is removed in two steps: an entry that sees no endpoint of the
 * version for a while marks it as absent, after which no entry that reads the table begins a stream
 * at it without announcing it again; it is removed only if the table has not changed for {@link
 * StreamOriginMachine#RETENTION_NANOS} since, far longer than entries take to read it again. A
 * table has {@link #MAX_VERSIONS} versions at most; no stream begins at a further one until a
 * version has been removed.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StreamOriginMachine}.
 */
final class SoftwareTables {
    /** How many versions of a service may be announced. */
    static final int MAX_VERSIONS = 256;

    // After this time without a stream, an announcement is checked before the next one begins.
    private static final long MAX_IDLE_NANOS = Nanos.ofMillis(60_000);

    /** How often entries read a table that names several versions. */
    static final long REFRESH_NANOS = Nanos.ofMillis(60_000);

    // Streams wait for the announcement; the store is asked five times a second at most.
    private static final long RETRY_NANOS = Nanos.ofMillis(200);
    // A full table changes at the earliest when an absent version is removed.
    private static final long FULL_RETRY_NANOS = Nanos.ofMillis(10_000);
    // Endpoints that restart, or whose records expire in an outage of the store, are back by then.
    private static final long ABSENT_NANOS = Nanos.ofMillis(30_000);

    private final Fleet mFleet;
    private final StreamOriginOutputs mOutputs;
    private final Map<ServiceName, SoftwareTable> mTables = new HashMap<>();

    SoftwareTables(Fleet fleet, StreamOriginOutputs outputs) {
        mFleet = fleet;
        mOutputs = outputs;
    }

    /** Returns whether streams of any service may have begun at several versions. */
    boolean isAnyAmbiguous() {
        return mTables.values().stream().anyMatch(SoftwareTable::isAmbiguous);
    }

    /** Returns whether it is known that streams of a service may have begun at several versions. */
    boolean isAmbiguous(ServiceName service) {
        SoftwareTable table = mTables.get(service);
        return table != null && table.isAmbiguous();
    }

    /** Returns whether a stream may begin at an endpoint; announces its version if necessary. */
    StreamAdmission admit(EndpointRecord endpoint, long now) {
        SoftwareTable table = table(endpoint.service());
        String software = StreamOrigin.of(endpoint).software();
        if (table.use(software, MAX_IDLE_NANOS, now)) {
            return StreamAdmission.ADMITTED;
        }
        if (table.mayOpenRound(now)) {
            table.announce(software);
            refresh(endpoint.service(), now);
        }
        return table.isRoundOpen() && !table.hasFailed()
                ? StreamAdmission.PENDING
                : StreamAdmission.DENIED;
    }

    /** Reads the announced versions of a service again, unless a round is open. */
    void refresh(ServiceName service, long now) {
        SoftwareTable table = table(service);
        if (table.mayOpenRound(now) && mOutputs.isStoreAvailable()) {
            table.openRound();
            mOutputs.readTable(service);
        }
    }

    private SoftwareTable table(ServiceName service) {
        return mTables.computeIfAbsent(service, name -> new SoftwareTable());
    }

    /** Handles what the store has of a service; ends the open round unless there is more to do. */
    void onTable(ServiceName service, SoftwareVersions versions, long revision, long now) {
        SoftwareTable table = table(service);
        onRead(service, versions, revision, now);
        table.endRound();
        SoftwareVersions wanted = table.announced();
        if (wanted.announced().size() > MAX_VERSIONS) {
            wanted = table.stored();
            table.failRound(now + FULL_RETRY_NANOS);
        }
        if (wanted.equals(table.stored())) {
            wanted = withoutAbsent(table, now);
        }
        if (!wanted.equals(table.stored())) {
            write(service, table, wanted);
        }
    }

    /** Returns what is stored, with the next step of the removal of versions without endpoints. */
    private static SoftwareVersions withoutAbsent(SoftwareTable table, long now) {
        SoftwareVersions stored = table.stored();
        Set<String> gone =
                Sets.intersection(
                        table.absentFor(StreamOriginMachine.RETENTION_NANOS, now), stored.absent());
        if (!gone.isEmpty()) {
            return stored.without(gone);
        }
        Set<String> absent = table.absentFor(ABSENT_NANOS, now);
        return absent.size() < stored.announced().size() ? stored.withAbsent(absent) : stored;
    }

    private void write(ServiceName service, SoftwareTable table, SoftwareVersions versions) {
        table.openRound();
        mOutputs.writeTable(service, versions, table.revision());
    }

    /** Handles what the store has of a service, outside of a round. */
    void onRead(ServiceName service, SoftwareVersions versions, long revision, long now) {
        SoftwareTable table = table(service);
        SoftwareVersions before = table.stored();
        if (table.setStored(versions, revision, now) && !before.equals(table.stored())) {
            mOutputs.onTableChanged(service, table.stored());
        }
    }

    /** Handles a round whose outcome is unknown. */
    void onTableFailed(ServiceName service, long now) {
        table(service).failRound(now + RETRY_NANOS);
    }

    /** Reads tables again that name several versions, after noting which of them are present. */
    void onTick(long now) {
        for (Map.Entry<ServiceName, SoftwareTable> entry : mTables.entrySet()) {
            SoftwareTable table = entry.getValue();
            if (!mOutputs.isStoreAvailable()) {
                table.clearAbsences();
            } else if (table.isAmbiguous()) {
                table.setPresent(present(entry.getKey()), now);
                if (table.ageNanos(now) >= REFRESH_NANOS) {
                    refresh(entry.getKey(), now);
                }
            }
        }
    }

    private Set<String> present(ServiceName service) {
        Set<String> present = new HashSet<>();
        for (Endpoint endpoint : mFleet.all()) {
            if (endpoint.record().service().equals(service)) {
                present.add(StreamOrigin.of(endpoint.record()).software());
            }
        }
        return present;
    }
}
