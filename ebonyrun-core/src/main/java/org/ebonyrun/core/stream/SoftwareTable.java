package org.ebonyrun.core.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this process knows of the software versions of one service at which streams may have begun.
 *
 * <p>Invariants: a version counts as announced only while streams are placed at it regularly, since
 * the stored announcement of a version without endpoints is removed some time; a version that the
 * store counts as absent is not announced; a read that is older than what is known changes nothing;
 * each new revision begins the times of absence anew.
 *
 * <p>Not thread safe; confined to the event loop of its {@link SoftwareTables}.
 */
final class SoftwareTable {
    private final Map<String, Long> mUsedAt = new HashMap<>();
    private final Map<String, Long> mAbsentSince = new HashMap<>();
    private SoftwareVersions mStored = SoftwareVersions.NONE;
    private long mRevision = -1;
    private long mReadAt;
    private String mWanted = "";
    private boolean mAnnouncing;
    private boolean mRoundOpen;
    private boolean mFailed;
    private long mRetryAt = Long.MIN_VALUE;

    /** Returns whether what was read is not older than what is known, and takes it if so. */
    boolean setStored(SoftwareVersions versions, long revision, long now) {
        if (revision < mRevision) {
            return false;
        }
        if (revision > mRevision) {
            mAbsentSince.clear();
        }
        mRevision = revision;
        mStored = versions;
        mReadAt = now;
        mUsedAt.clear();
        mStored.announced().stream()
                .filter(mStored::allows)
                .forEach(version -> mUsedAt.put(version, now));
        return true;
    }

    SoftwareVersions stored() {
        return mStored;
    }

    long revision() {
        return mRevision;
    }

    long ageNanos(long now) {
        return now - mReadAt;
    }

    /** Returns whether streams of this service may have begun at several versions. */
    boolean isAmbiguous() {
        return mStored.announced().size() > 1;
    }

    /** Returns whether a version is announced, and counts it as used if it is. */
    boolean use(String version, long maxIdleNanos, long now) {
        Long usedAt = mUsedAt.get(version);
        if (usedAt == null || now - usedAt > maxIdleNanos) {
            mUsedAt.remove(version);
            return false;
        }
        mUsedAt.put(version, now);
        return true;
    }

    /** Returns whether a read or write of the stored table is open. */
    boolean isRoundOpen() {
        return mRoundOpen;
    }

    /** Returns whether a round may begin: none is open, and none has failed just now. */
    boolean mayOpenRound(long now) {
        return !mRoundOpen && now >= mRetryAt;
    }

    /** Returns whether the last round failed. */
    boolean hasFailed() {
        return mFailed;
    }

    void openRound() {
        mRoundOpen = true;
    }

    void endRound() {
        mRoundOpen = false;
        mFailed = false;
    }

    void failRound(long retryAt) {
        mRoundOpen = false;
        mFailed = true;
        mRetryAt = retryAt;
    }

    /** Sets the version that this process announces in the open round. */
    void announce(String version) {
        mWanted = version;
        mAnnouncing = true;
    }

    /** Returns what is stored, with the version that is still to be announced if there is one. */
    SoftwareVersions announced() {
        if (mAnnouncing && mStored.allows(mWanted)) {
            mAnnouncing = false;
        }
        return mAnnouncing ? mStored.with(mWanted) : mStored;
    }

    /** Records which of the stored versions endpoints run at the moment. */
    void setPresent(Set<String> present, long now) {
        mAbsentSince.keySet().removeAll(present);
        for (String version : mStored.announced()) {
            if (!present.contains(version)) {
                mAbsentSince.putIfAbsent(version, now);
            }
        }
    }

    /** Forgets since when versions have been absent. */
    void clearAbsences() {
        mAbsentSince.clear();
    }

    /** Returns the stored versions that no endpoint has run for a time, at this revision. */
    Set<String> absentFor(long nanos, long now) {
        Set<String> absent = new HashSet<>();
        mAbsentSince.forEach(
                (version, since) -> {
                    if (now - since >= nanos) {
                        absent.add(version);
                    }
                });
        return absent;
    }
}
