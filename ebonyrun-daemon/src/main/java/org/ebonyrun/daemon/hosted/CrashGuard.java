package org.ebonyrun.daemon.hosted;

import java.util.function.Function;
import org.ebonyrun.core.call.CallAdmission;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.call.CallGuard;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.stream.StreamAdmission;
import org.jspecify.annotations.Nullable;

/**
 * Keeps calls that crash endpoints from being sent, and streams from beginning at endpoints whose
 * software version is not announced.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CrashGuard implements CallGuard {
    private final CrashController mCrashes;
    private final StreamController mStreams;
    private final Function<CallSpec, @Nullable CallFingerprint> mFingerprints;

    /**
     * Creates a guard.
     *
     * @param fingerprints returns the fingerprint of a call; null if no record can concern it
     */
    CrashGuard(
            CrashController crashes,
            StreamController streams,
            Function<CallSpec, @Nullable CallFingerprint> fingerprints) {
        mCrashes = crashes;
        mStreams = streams;
        mFingerprints = fingerprints;
    }

    @Override
    public CallAdmission admission(CallSpec call) {
        CallFingerprint fingerprint = mFingerprints.apply(call);
        return fingerprint == null
                ? CallAdmission.ADMITTED
                : mCrashes.admission(fingerprint, call.id(), call.requestId());
    }

    @Override
    public boolean mayRetry(CallSpec call) {
        CallFingerprint fingerprint = mFingerprints.apply(call);
        return fingerprint == null || mCrashes.mayRetry(fingerprint);
    }

    @Override
    public boolean hasCrashed(CallSpec call) {
        CallFingerprint fingerprint = mFingerprints.apply(call);
        return fingerprint != null && mCrashes.hasCrashed(fingerprint);
    }

    @Override
    public StreamAdmission admit(CallSpec call, Endpoint endpoint, long now) {
        return mStreams.admit(endpoint, now);
    }

    @Override
    public long retryAfterMillis(CallSpec call) {
        CallFingerprint fingerprint = mFingerprints.apply(call);
        return fingerprint == null ? 0 : mCrashes.retryAfterMillis(fingerprint);
    }
}
