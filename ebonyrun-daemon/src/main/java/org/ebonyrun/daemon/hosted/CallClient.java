package org.ebonyrun.daemon.hosted;

import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.call.CallSpec;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.step.ScoreCall;
import org.ebonyrun.core.stream.EventRelay;
import org.ebonyrun.core.stream.StreamId;
import org.ebonyrun.core.stream.StreamResumption;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The client of a call: either a caller, or a sample that is being scored.
 *
 * <p>Confined to the entry's event loop, except for {@code mCurrent}.
 */
final class CallClient {
    private final CallSpec mCall;
    private final @Nullable FrontExchange mCaller;
    private final @Nullable ScoreCall mScore;
    private final CallController.@Nullable ScoreListener mScoreListener;
    private @Nullable CallFingerprint mFingerprint;
    // The events that were passed on; null until a resumable stream has begun.
    @Nullable EventRelay mRelay;
    // The attempt whose response is passed on; read by the I/O thread too.
    volatile @Nullable CallExchange mCurrent;

    CallClient(
            CallSpec call,
            @Nullable FrontExchange caller,
            @Nullable ScoreCall score,
            CallController.@Nullable ScoreListener scoreListener) {
        mCall = call;
        mCaller = caller;
        mScore = score;
        mScoreListener = scoreListener;
    }

    CallSpec call() {
        return mCall;
    }

    @Nullable FrontExchange caller() {
        return mCaller;
    }

    @Nullable ScoreCall score() {
        return mScore;
    }

    CallController.@Nullable ScoreListener scoreListener() {
        return mScoreListener;
    }

    /** Returns the ID of the stream that a caller's call begins or resumes. */
    StreamId streamId(FrontExchange caller) {
        String first =
                FrontProtocol.resumption(caller.headers())
                        .map(StreamResumption::firstRequestId)
                        .filter(id -> !id.isEmpty())
                        .orElse(mCall.requestId());
        return StreamId.of(FrontProtocol.host(caller.headers()), first);
    }

    /** Returns the fingerprint of a caller's call; null for a call that scores a sample. */
    @Nullable CallFingerprint fingerprint() {
        if (mFingerprint == null && mCaller != null) {
            mFingerprint =
                    CallFingerprint.of(
                            mCaller.method(),
                            FrontProtocol.host(mCaller.headers()),
                            mCaller.target(),
                            mCaller.body());
        }
        return mFingerprint;
    }

    /** Returns the request that sends the call to an endpoint. */
    HttpRequest newRequest(Endpoint endpoint, long leftMillis) {
        FrontExchange caller = caller();
        ScoreCall score = score();
        if (caller != null) {
            HttpRequest request =
                    EndpointProtocol.newCallRequest(
                            endpoint.record(),
                            caller.method(),
                            caller.target(),
                            caller.headers(),
                            caller.body(),
                            mCall.endpointPriority(),
                            leftMillis);
            EventRelay relay = mRelay;
            return relay == null || relay.lastEvent() == 0
                    ? request
                    : EndpointProtocol.afterEvent(request, relay.lastEvent());
        }
        if (score == null) {
            throw new IllegalStateException("call has neither a caller nor a sample to score");
        }
        return EndpointProtocol.newScoreRequest(endpoint.record(), score, leftMillis);
    }
}
