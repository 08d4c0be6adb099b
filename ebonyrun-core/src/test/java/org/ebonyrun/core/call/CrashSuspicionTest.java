package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random resets of connections, a call that crashes its endpoints, restarts under the same ID and
 * entries that are cut off from the store: a call that crashes endpoints ends few of them, and any
 * other call is served again.
 */
class CrashSuspicionTest {
    private static final CallFingerprint HARMLESS = new CallFingerprint("harmless");
    private static final CallFingerprint CRASHING = new CallFingerprint("crashing");
    private static final int ENTRIES = 4;
    private static final int ENDPOINTS = 6;
    private static final int RUN_MILLIS = 120_000;
    private static final int SPREAD_MILLIS = 500;
    private static final int REPEAT_MILLIS = 200;
    private static final int RESTART_MILLIS = 2_000;

    /** The record of one call in the store. */
    private static final class Shared {
        @Nullable CrashRecord mRecord;
        long mRevision;
    }

    /** An entry, which knows the records and the lives of the endpoints with a delay. */
    private final class Entry {
        final CrashRecords mRecords = new CrashRecords();
        final int[] mLives = new int[ENDPOINTS];
        final Map<CallFingerprint, Long> mSeen = new HashMap<>();
        boolean mCut;

        void onBroken(CallFingerprint call, int endpoint, long now) {
            mRecords.onCrash(call, life(endpoint), Nanos.toMillis(now), now)
                    .ifPresent(record -> write(this, call));
        }

        String life(int endpoint) {
            return endpoint + "@" + mLives[endpoint];
        }

        /** Returns whether a call may be sent now; one trial is claimed at a time. */
        boolean admits(CallFingerprint call, long now) {
            if (!mRecords.isBlocked(call)) {
                return true;
            }
            Optional<CrashRecord> claim = mRecords.startTrial(call, Nanos.toMillis(now));
            Shared shared = shared(call);
            boolean current = seen(call) == shared.mRevision && shared.mRecord != null;
            if (claim.isEmpty() || mCut || !current) {
                return false;
            }
            shared.mRecord = claim.get();
            mSeen.put(call, ++shared.mRevision);
            mRecords.onReplaced(call, claim.get(), now);
            announce(call);
            return true;
        }

        long seen(CallFingerprint call) {
            return mSeen.getOrDefault(call, 0L);
        }

        /** Takes the record over from the store; adds it to the own one if that isn't written. */
        void see(CallFingerprint call, Shared shared, boolean unwritten, long now) {
            mSeen.put(call, shared.mRevision);
            if (shared.mRecord == null && !unwritten) {
                mRecords.onRemoved(call);
            } else if (shared.mRecord != null && unwritten) {
                mRecords.onShared(call, shared.mRecord, now);
            } else if (shared.mRecord != null) {
                mRecords.onReplaced(call, shared.mRecord, now);
            }
        }

        void onAlive(int endpoint, long sentAt) {
            if (!mCut) {
                mRecords.onAlive(life(endpoint), sentAt).forEach(call -> write(this, call));
            }
        }
    }

    private final VirtualClock mClock = new VirtualClock();
    private final List<Entry> mEntries = new ArrayList<>();
    private final Shared mHarmless = new Shared();
    private final Shared mCrashing = new Shared();
    private final int[] mLives = new int[ENDPOINTS];
    private final boolean[] mDown = new boolean[ENDPOINTS];
    private Random mRandom = new Random();
    private int mCrashes;
    private int mTrials;
    private long mServedAt;

    private static Stream<Long> seeds() {
        return LongStream.range(0, Long.getLong("ebonyrun.crash.seeds", 40)).boxed();
    }

    private Shared shared(CallFingerprint call) {
        return call.equals(CRASHING) ? mCrashing : mHarmless;
    }

    /** Writes what an entry knows of a call, once it is in touch with the store. */
    private void write(Entry entry, CallFingerprint call) {
        after(1 + mRandom.nextInt(50), now -> writeNow(entry, call, now));
    }

    private void writeNow(Entry entry, CallFingerprint call, long now) {
        if (entry.mCut) {
            write(entry, call);
            return;
        }
        Shared shared = shared(call);
        if (entry.seen(call) != shared.mRevision) {
            // The write conflicts, and is repeated with what others wrote.
            entry.see(call, shared, true, now);
        }
        shared.mRecord = entry.mRecords.get(call);
        entry.mSeen.put(call, ++shared.mRevision);
        announce(call);
    }

    private void announce(CallFingerprint call) {
        Shared shared = shared(call);
        for (Entry entry : mEntries) {
            after(mRandom.nextInt(SPREAD_MILLIS), now -> deliver(entry, call, shared, now));
        }
    }

    private void deliver(Entry entry, CallFingerprint call, Shared shared, long now) {
        if (entry.mCut) {
            after(SPREAD_MILLIS, later -> deliver(entry, call, shared, later));
        } else if (entry.seen(call) < shared.mRevision) {
            entry.see(call, shared, false, now);
        }
    }

    private void after(long millis, LongConsumer action) {
        mClock.schedule(mClock.now() + Nanos.ofMillis(millis), action);
    }

    /** Ends an endpoint, which starts again under its ID. */
    private void crash(int endpoint) {
        mDown[endpoint] = true;
        after(
                RESTART_MILLIS,
                now -> {
                    mDown[endpoint] = false;
                    int life = ++mLives[endpoint];
                    for (Entry entry : mEntries) {
                        after(
                                mRandom.nextInt(SPREAD_MILLIS),
                                later -> entry.mLives[endpoint] = life);
                    }
                });
    }

    private int anyEndpoint() {
        return mRandom.nextInt(ENDPOINTS);
    }

    private Entry anyEntry() {
        return mEntries.get(mRandom.nextInt(ENTRIES));
    }

    private void sendOrdinaryCall(Entry entry, long now) {
        int endpoint = anyEndpoint();
        if (!mDown[endpoint] && entry.mLives[endpoint] == mLives[endpoint]) {
            after(10, later -> entry.onAlive(endpoint, now));
        }
    }

    private void sendHarmlessCall(long now) {
        Entry entry = anyEntry();
        if (mDown[anyEndpoint()] || !entry.admits(HARMLESS, now)) {
            return;
        }
        mServedAt = now;
        if (entry.mRecords.onAnswered(HARMLESS)) {
            write(entry, HARMLESS);
        }
    }

    private void sendCrashingCall(long now) {
        Entry entry = anyEntry();
        int endpoint = anyEndpoint();
        boolean blocked = entry.mRecords.isBlocked(CRASHING);
        if (mDown[endpoint] || !entry.admits(CRASHING, now)) {
            return;
        }
        mCrashes++;
        mTrials += blocked ? 1 : 0;
        crash(endpoint);
        entry.onBroken(CRASHING, endpoint, now);
    }

    /** Resets connections of an entry to several endpoints that run like calls. */
    private void reset(long now) {
        Entry entry = anyEntry();
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            if (mRandom.nextInt(3) > 0) {
                entry.onBroken(HARMLESS, endpoint, now);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aCrashingCallEndsFewEndpointsAndAnyOtherIsServed(long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            Entry entry = new Entry();
            mEntries.add(entry);
            mClock.scheduleEvery(Nanos.ofMillis(20), now -> sendOrdinaryCall(entry, now));
        }
        mClock.scheduleEvery(Nanos.ofMillis(REPEAT_MILLIS), this::sendCrashingCall);
        mClock.scheduleEvery(Nanos.ofMillis(REPEAT_MILLIS), this::sendHarmlessCall);
        for (int i = 0; i < 1 + mRandom.nextInt(4); i++) {
            after(mRandom.nextInt(RUN_MILLIS), this::reset);
            Entry cut = anyEntry();
            int from = mRandom.nextInt(RUN_MILLIS);
            after(from, now -> cut.mCut = true);
            after(from + mRandom.nextInt(20_000), now -> cut.mCut = false);
        }
        mClock.runUntil(Nanos.ofMillis(RUN_MILLIS));

        // Cut entries may send it as often as one that knows of no crash.
        int unaware = ENTRIES * CrashRecord.BLOCKING_ENDPOINTS;
        int late = SPREAD_MILLIS / REPEAT_MILLIS + 1;
        assertThat(mTrials, lessThanOrEqualTo(5));
        assertThat(mCrashes, lessThanOrEqualTo(unaware + late + mTrials));

        mEntries.forEach(entry -> entry.mCut = false);
        mClock.runUntil(Nanos.ofMillis(RUN_MILLIS + 30_000));
        for (Entry entry : mEntries) {
            assertThat(entry.mRecords.isBlocked(HARMLESS), is(false));
        }
        assertThat(mClock.now() - mServedAt, lessThan(Nanos.ofMillis(10 * REPEAT_MILLIS)));
    }
}
