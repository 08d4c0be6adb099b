package org.ebonyrun.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.stream.SimulatedStreamStore.Table;
import org.jspecify.annotations.Nullable;

/**
 * Simulates entries that carry streams of a service during releases of its software, in virtual
 * time: endpoints that are replaced, entries that learn of it at different times, are killed alone
 * or all at once, or cut off from the store, and a store with latency, outages, lost responses,
 * late writes, leases that end and a history that is discarded. Some routes name a second service.
 * Callers resume broken streams at any entry; some don't name their first request.
 */
final class ResumedStreamsSimulation {
    private static final ServiceName SERVICE = EndpointFixtures.SERVICE;
    private static final ServiceName OTHER_SERVICE = ServiceName.of("other");
    private static final Set<ServiceName> SERVICES = Set.of(SERVICE);
    private static final Set<ServiceName> BOTH_SERVICES = Set.of(SERVICE, OTHER_SERVICE);
    private static final int ENDPOINTS = 6;
    private static final int MAX_TRIES = 4;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final long MAX_LATENCY_NANOS = Nanos.ofMillis(15);
    private static final long TIMEOUT_NANOS = Nanos.ofMillis(500);
    private static final long LATE_WRITE_NANOS = Nanos.ofMillis(5_000);
    private static final long MAX_VIEW_LAG_NANOS = Nanos.ofMillis(4_000);
    private static final long RETRY_AFTER_NANOS = Nanos.ofMillis(300);
    private static final long LEASE_NANOS = Nanos.ofMillis(60_000);

    /** One process of an entry. A killed entry gets another one. */
    private final class Entry implements StreamOriginOutputs {
        final int mNumber;
        final int mLife;
        final Fleet mFleet = Fleet.create();
        final StreamOriginMachine mMachine = StreamOriginMachine.create(mFleet, 400, this);
        final List<SimulatedStream> mCarried = new ArrayList<>();
        final Map<Long, SimulatedStream> mLookups = new HashMap<>();
        boolean mCutOff;
        boolean mDead;
        long mLastLookup;
        long mReadAgainAt = -1;

        Entry(int number, int life) {
            mNumber = number;
            mLife = life;
        }

        private boolean reachesStore() {
            return !mStoreDown && !mCutOff;
        }

        /** Returns an endpoint at which a stream may begin or go on. */
        private @Nullable Endpoint choose(
                Set<ServiceName> services, @Nullable StreamOrigin origin, long now) {
            List<Endpoint> serving = new ArrayList<>();
            services.stream().sorted().forEach(name -> serving.addAll(mFleet.serving(name)));
            List<Endpoint> allowed = new ArrayList<>();
            for (Endpoint endpoint : serving) {
                boolean fits =
                        origin == null
                                ? mMachine.admit(endpoint.record(), now) == StreamAdmission.ADMITTED
                                : origin.includes(endpoint.record());
                if (fits) {
                    allowed.add(endpoint);
                }
            }
            return allowed.isEmpty() ? null : allowed.get(mRandom.nextInt(allowed.size()));
        }

        void begin(long now) {
            if (mDead) {
                return;
            }
            mAsked++;
            Set<ServiceName> services =
                    mCallers.nextDouble() < mSplitShare ? BOTH_SERVICES : SERVICES;
            Endpoint endpoint = choose(services, null, now);
            if (endpoint == null) {
                return;
            }
            mBegun++;
            StreamId id = StreamId.of("x", "r" + mBegun);
            SimulatedStream stream =
                    new SimulatedStream(id, services, mCallers.nextDouble() >= mUnnamedShare, now);
            stream.mDisturbed = mCutOff || mStoreDown;
            run(stream, endpoint, now);
        }

        private void run(SimulatedStream stream, Endpoint endpoint, long now) {
            StreamOrigin origin = StreamOrigin.of(endpoint.record());
            if (stream.mOrigin == null) {
                stream.mOrigin = origin;
            } else if (!stream.mOrigin.equals(origin)) {
                mMixed.add(stream.mOrigin + " then " + origin + " at " + now);
            }
            mCarried.add(stream);
            stream.mSurvived = true;
            mMachine.onBegun(stream.mId, origin, stream.mServices, stream.mExpiresAt, now);
            long runs = mRandom.nextInt(mMaxRunMillis) * Nanos.PER_MILLI;
            mClock.schedule(now + runs, at -> end(stream, at));
        }

        private void end(SimulatedStream stream, long now) {
            if (mDead || !mCarried.remove(stream)) {
                return;
            }
            if (mRandom.nextDouble() < mBreaks) {
                stream.mDisturbed |= mCutOff || mStoreDown;
                mMachine.onBroken(stream.mOrigin.service(), now);
                comeAgain(stream, now + mRandom.nextInt(5) * Nanos.PER_MILLI);
            }
        }

        void resume(SimulatedStream stream, long now) {
            if (mDead) {
                // A connection that is refused is no try.
                stream.mTries--;
                comeAgain(stream, now + RETRY_AFTER_NANOS);
                return;
            }
            long lookup = ++mLastLookup;
            mLookups.put(lookup, stream);
            stream.mDisturbed |= mCutOff || mStoreDown;
            mMachine.resolve(lookup, stream.mIsNamed ? stream.mId : null, stream.mServices);
        }

        void kill(long now) {
            mDead = true;
            for (SimulatedStream stream : mCarried) {
                stream.mKilled = true;
                stream.mSurvived = false;
                stream.mAgeAtKill = now - stream.mBegunAt;
                mKilledStreams.add(stream);
                comeAgain(stream, now + mRandom.nextInt(50) * Nanos.PER_MILLI);
            }
            mLookups.values().forEach(stream -> comeAgain(stream, now + RETRY_AFTER_NANOS));
            mCarried.clear();
            mLookups.clear();
            mClock.schedule(now + LEASE_NANOS, later -> mStore.endLease(process()));
        }

        private String process() {
            return mNumber + "/" + mLife;
        }

        /** Reads all endpoints again, in place of the changes that are still to be told. */
        void readAgain(long now) {
            mReadAgainAt = now;
            List<String> known =
                    mFleet.all().stream().map(endpoint -> endpoint.record().id()).toList();
            known.stream()
                    .filter(id -> !mEndpoints.containsKey(id))
                    .forEach(id -> mFleet.onRemoved(id, now));
            mEndpoints.values().forEach(mFleet::onRecord);
        }

        @Override
        public void onResolved(long lookup, @Nullable StreamOrigin origin, String reason) {
            SimulatedStream stream = mLookups.remove(lookup);
            if (stream == null) {
                return;
            }
            long now = mClock.now();
            if (origin != null && !origin.equals(stream.mOrigin)) {
                mMixed.add(stream.mOrigin + " taken for " + origin + ": " + reason);
            }
            Endpoint endpoint = origin == null ? null : choose(stream.mServices, origin, now);
            boolean counts =
                    !stream.mDisturbed && stream.mIsNamed && servingCount(stream.mOrigin) >= 2;
            if (endpoint != null) {
                mWentOn += counts ? 1 : 0;
                run(stream, endpoint, now);
            } else {
                mRefused += counts ? 1 : 0;
                mRefusedAlive += counts && !stream.mKilled && origin == null ? 1 : 0;
                comeAgain(stream, now + RETRY_AFTER_NANOS);
            }
        }

        /** Performs a call to the store, and loses it or its response from time to time. */
        private void call(boolean write, Runnable onDone, Runnable onFailed) {
            long sentAt = mClock.now();
            boolean lost = !reachesStore() || mRandom.nextDouble() < mLosses;
            if (lost) {
                if (write && mRandom.nextBoolean()) {
                    long late = sentAt + mRandom.nextInt(100) * LATE_WRITE_NANOS / 100;
                    mClock.schedule(late, now -> onDone.run());
                }
                mClock.schedule(sentAt + TIMEOUT_NANOS, now -> ifAlive(onFailed));
                return;
            }
            long latency = 1 + (long) (mRandom.nextDouble() * MAX_LATENCY_NANOS);
            mClock.schedule(sentAt + latency, now -> onDone.run());
        }

        private void ifAlive(Runnable action) {
            if (!mDead) {
                action.run();
            }
        }

        /** Runs a response, after the time that it takes to arrive. */
        private void respond(Runnable response) {
            long latency = 1 + (long) (mRandom.nextDouble() * MAX_LATENCY_NANOS);
            mClock.schedule(mClock.now() + latency, now -> ifAlive(response));
        }

        @Override
        public void readTable(ServiceName service) {
            call(
                    false,
                    () -> {
                        Table table = mStore.table(service);
                        respond(() -> onTable(service, table));
                    },
                    () -> mMachine.onTableFailed(service, mClock.now()));
        }

        @Override
        public void writeTable(ServiceName service, SoftwareVersions versions, long revision) {
            boolean[] ended = {false};
            call(
                    true,
                    () -> {
                        Table now = mStore.write(service, versions, revision, mClock.now());
                        respond(
                                () -> {
                                    if (!ended[0]) {
                                        ended[0] = true;
                                        onTable(service, now);
                                    }
                                });
                    },
                    () -> {
                        ended[0] = true;
                        mMachine.onTableFailed(service, mClock.now());
                    });
        }

        private void onTable(ServiceName service, Table table) {
            mMachine.onTable(service, table.versions(), table.revision(), mClock.now());
        }

        @Override
        public void readTableFor(long lookup, ServiceName service) {
            call(
                    false,
                    () -> {
                        Table table = mStore.table(service);
                        respond(
                                () ->
                                        mMachine.onLookupTable(
                                                lookup,
                                                service,
                                                table.versions(),
                                                table.revision(),
                                                mClock.now()));
                    },
                    () -> mMachine.onLookupFailed(lookup, "lost", mClock.now()));
        }

        @Override
        public void readRecords(long lookup, StreamId stream) {
            call(
                    false,
                    () -> {
                        Set<StreamOrigin> origins = mStore.origins(stream);
                        respond(() -> mMachine.onRecords(lookup, origins, mClock.now()));
                    },
                    () -> mMachine.onLookupFailed(lookup, "lost", mClock.now()));
        }

        @Override
        public void countEntries() {
            int entries = mStore.processCount();
            respond(() -> mMachine.onEntries(entries));
        }

        @Override
        public void writeRecords(Map<Integer, Map<StreamId, StreamOrigin>> buckets) {
            mRecordWrites.add(mClock.now());
            boolean[] ended = {false};
            call(
                    true,
                    () -> {
                        mStore.writeRecords(process(), buckets);
                        respond(
                                () -> {
                                    if (!ended[0]) {
                                        mMachine.onRecordsWritten(mClock.now());
                                    }
                                });
                    },
                    () -> {
                        ended[0] = true;
                        mMachine.onRecordsFailed(mClock.now());
                    });
        }

        @Override
        public boolean isStoreAvailable() {
            return reachesStore();
        }

        @Override
        public void onTableChanged(ServiceName service, SoftwareVersions versions) {}
    }

    private final VirtualClock mClock = new VirtualClock();
    private final Random mRandom;
    private final Random mCallers;
    private final double mBreaks;
    private final double mLosses;
    private final Entry[] mEntries;
    private final Map<String, EndpointRecord> mEndpoints = new TreeMap<>();
    private final SimulatedStreamStore mStore = new SimulatedStreamStore();
    private final List<SimulatedStream> mKilledStreams = new ArrayList<>();
    private double mSplitShare;
    private double mUnnamedShare;
    private int mMaxRunMillis = 800;
    private boolean mStoreDown;
    private int mLives;
    private int mAsked;
    private int mBegun;
    private int mWentOn;
    private int mRefused;
    private int mRefusedAlive;
    private final List<Long> mRecordWrites = new ArrayList<>();
    private final List<String> mMixed = new ArrayList<>();

    /**
     * Creates a simulation.
     *
     * @param breaks the fraction of streams that break
     * @param losses the fraction of calls to the store that are lost, or whose response is
     */
    ResumedStreamsSimulation(long seed, int entries, double breaks, double losses) {
        mRandom = new Random(seed);
        mCallers = new Random(seed);
        mBreaks = breaks;
        mLosses = losses;
        mEntries = new Entry[entries];
        for (int i = 0; i < ENDPOINTS; i++) {
            register("e" + i, "v1", true);
        }
        for (int i = 0; i < entries; i++) {
            restart(i);
        }
    }

    /** Returns the streams that went on at another origin, or were taken for one. */
    List<String> mixed() {
        return mMixed;
    }

    /** Returns the fraction of streams that begin, of those that are asked for. */
    double begunShare() {
        return (double) mBegun / mAsked;
    }

    /** Returns how many streams of undisturbed callers went on while two endpoints could. */
    int wentOn() {
        return mWentOn;
    }

    /** Returns how many such streams were refused. */
    int refused() {
        return mRefused;
    }

    /** Returns how many of them were refused although their entry lived. */
    int refusedAlive() {
        return mRefusedAlive;
    }

    /** Returns how many times records were written from a time on. */
    int recordWrites(long fromMillis) {
        return (int) mRecordWrites.stream().filter(at -> at >= Nanos.ofMillis(fromMillis)).count();
    }

    int tableWrites() {
        return mStore.tableWrites().size();
    }

    /** Returns when the announced versions were last written, in milliseconds. */
    long lastTableWriteMillis() {
        return Nanos.toMillis(mStore.tableWrites().get(tableWrites() - 1));
    }

    /** Returns the streams whose entry was killed and whose version two endpoints serve now. */
    List<SimulatedStream.Killed> killedStreams() {
        return mKilledStreams.stream()
                .filter(stream -> stream.mIsNamed && servingCount(stream.mOrigin) >= 2)
                .map(stream -> new SimulatedStream.Killed(stream.mAgeAtKill, stream.mSurvived))
                .toList();
    }

    private int servingCount(@Nullable StreamOrigin origin) {
        return (int)
                mEndpoints.values().stream()
                        .filter(e -> origin != null && origin.includes(e))
                        .count();
    }

    private void register(String id, String software, boolean atOnce) {
        register(EndpointFixtures.recordWithSoftware(id, 8, 1, software), atOnce);
    }

    private void register(EndpointRecord record, boolean atOnce) {
        mEndpoints.put(record.id(), record);
        for (Entry entry : mEntries) {
            if (entry != null && !atOnce) {
                seeLater(entry, () -> entry.mFleet.onRecord(record));
            }
        }
    }

    /** Applies a change at an entry when its watch delivers it. */
    private void seeLater(Entry entry, Runnable change) {
        long happenedAt = mClock.now();
        long at = happenedAt + (long) (mRandom.nextDouble() * MAX_VIEW_LAG_NANOS);
        mClock.schedule(
                at,
                now -> {
                    if (entry.mReadAgainAt >= happenedAt) {
                        return;
                    }
                    if (entry.reachesStore()) {
                        change.run();
                    } else {
                        seeLater(entry, change);
                    }
                });
    }

    private void restart(int number) {
        Entry entry = new Entry(number, ++mLives);
        mEndpoints.values().forEach(entry.mFleet::onRecord);
        mEntries[number] = entry;
    }

    private void comeAgain(SimulatedStream stream, long at) {
        if (++stream.mTries > MAX_TRIES || at > stream.mExpiresAt) {
            return;
        }
        mClock.schedule(at, now -> mEntries[mRandom.nextInt(mEntries.length)].resume(stream, now));
    }

    /** Replaces endpoints one after the other by ones of another software version. */
    void release(long atMillis, String software, int count, long gapMillis) {
        for (int i = 0; i < count; i++) {
            int index = i;
            mClock.schedule(
                    Nanos.ofMillis(atMillis + i * gapMillis),
                    now -> {
                        List<String> old = new ArrayList<>();
                        mEndpoints.forEach(
                                (id, e) -> {
                                    if (e.service().equals(SERVICE)
                                            && !e.software().equals(software)) {
                                        old.add(id);
                                    }
                                });
                        register(software + "-" + index, software, false);
                        if (!old.isEmpty()) {
                            String gone = old.get(mRandom.nextInt(old.size()));
                            mEndpoints.remove(gone);
                            for (Entry entry : mEntries) {
                                seeLater(entry, () -> entry.mFleet.onRemoved(gone, mClock.now()));
                            }
                        }
                    });
        }
    }

    /** Kills random entries from time to time, each of which starts again at once. */
    void killEvery(long millis) {
        mClock.scheduleEvery(
                Nanos.ofMillis(millis),
                now -> {
                    int number = mRandom.nextInt(mEntries.length);
                    if (!mEntries[number].mDead) {
                        mEntries[number].kill(now);
                        restart(number);
                    }
                });
    }

    /** Kills all entries at once, and starts them with nothing in memory after a while. */
    void losePower(long atMillis, long forMillis) {
        mClock.schedule(
                Nanos.ofMillis(atMillis),
                now -> {
                    for (Entry entry : mEntries) {
                        entry.kill(now);
                    }
                });
        mClock.schedule(
                Nanos.ofMillis(atMillis + forMillis),
                now -> {
                    for (int i = 0; i < mEntries.length; i++) {
                        restart(i);
                    }
                });
    }

    /** Ends all leases at once, so that the store has no records of streams. */
    void endLeases(long atMillis) {
        mClock.schedule(
                Nanos.ofMillis(atMillis),
                now -> {
                    mStore.endLeases();
                    for (Entry entry : mEntries) {
                        entry.ifAlive(entry.mMachine::onRecordsLost);
                    }
                });
    }

    /** Discards the store's history, so that entries read all endpoints again. */
    void discardHistory(long atMillis) {
        mClock.schedule(
                Nanos.ofMillis(atMillis),
                now -> {
                    for (Entry entry : mEntries) {
                        if (!entry.mDead && entry.reachesStore()) {
                            entry.readAgain(now);
                        }
                    }
                });
    }

    /** Lets a share of the streams run on routes that name a second service too. */
    void splitRoutes(double share) {
        mSplitShare = share;
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointRecord record =
                    EndpointFixtures.record(OTHER_SERVICE, "other-" + i, i % 2 == 0 ? "v1" : "v2");
            register(record, true);
            for (Entry entry : mEntries) {
                entry.mFleet.onRecord(record);
            }
        }
    }

    /** Lets a share of the callers not name the first request of a stream. */
    void withoutNames(double share) {
        mUnnamedShare = share;
    }

    /** Sets how long a part of a stream runs at most. */
    void setMaxRun(int millis) {
        mMaxRunMillis = millis;
    }

    /** Cuts random entries off from the store for a while, from time to time. */
    void cutOffEvery(long millis, long forMillis) {
        mClock.scheduleEvery(
                Nanos.ofMillis(millis),
                now -> {
                    Entry entry = mEntries[mRandom.nextInt(mEntries.length)];
                    entry.mCutOff = true;
                    mClock.schedule(
                            now + Nanos.ofMillis(forMillis), later -> entry.mCutOff = false);
                });
    }

    /** Makes the store unavailable for a while. */
    void outage(long atMillis, long forMillis) {
        mClock.schedule(Nanos.ofMillis(atMillis), now -> mStoreDown = true);
        mClock.schedule(Nanos.ofMillis(atMillis + forMillis), now -> mStoreDown = false);
    }

    /** Runs until a time, with so many new streams per second. */
    void run(long untilMillis, int streamsPerSecond) {
        mClock.scheduleEvery(
                Nanos.PER_SECOND / streamsPerSecond,
                now -> mEntries[mRandom.nextInt(mEntries.length)].begin(now));
        mClock.scheduleEvery(
                TICK_NANOS,
                now -> {
                    for (Entry entry : mEntries) {
                        entry.ifAlive(() -> entry.mMachine.onTick(now));
                    }
                });
        mClock.runUntil(Nanos.ofMillis(untilMillis));
    }
}
