package org.ebonyrun.standin.virtual;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.daemon.agent.EndpointListener;

/**
 * An endpoint in virtual time that models continuous batching, a prefix cache of limited size, and
 * weight swaps while streams are running. Keeps a log of its runs.
 *
 * <p>Not thread safe.
 */
public final class VirtualEngine {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long NANOS_PER_MICRO = 1_000;

    private final VirtualClock mClock;
    private final String mName;
    private final List<VirtualRun> mLog = new ArrayList<>();
    private final Map<AttemptId, VirtualRun> mRunning = new LinkedHashMap<>();
    private final Map<String, Boolean> mPrefixCache;
    private EngineModel mModel;
    private EndpointListener mListener;
    private long mVersion;
    private long mHighestFence;
    private long mAcceptedStaleOrders;
    private int mLoadsToFail;
    private int mStreamsToTruncate;
    private boolean mDown;
    private long mIncarnation;
    private double mSlowdownFactor = 1;

    VirtualEngine(VirtualClock clock, String name, EngineModel model, long version) {
        mClock = clock;
        mName = name;
        mModel = model;
        mVersion = version;
        mPrefixCache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > mModel.cachedPrompts();
                    }
                };
    }

    void setListener(EndpointListener listener) {
        mListener = listener;
    }

    /** Returns all runs that the endpoint has started. */
    public List<VirtualRun> log() {
        return mLog;
    }

    /** Returns the number of orders accepted although a higher fence had been seen before. */
    public long acceptedStaleOrders() {
        return mAcceptedStaleOrders;
    }

    long version() {
        return mVersion;
    }

    int running() {
        return mRunning.size();
    }

    boolean isDown() {
        return mDown;
    }

    void setSlowFactor(double factor) {
        mSlowdownFactor = factor;
    }

    void failLoads(int count) {
        mLoadsToFail = count;
    }

    void truncateStreams(int count) {
        mStreamsToTruncate = count;
    }

    void ignoreFences() {
        mModel =
                new EngineModel(
                        mModel.plain(),
                        mModel.slots(),
                        mModel.tokenMicros(),
                        mModel.batchSlowdown(),
                        mModel.prefillMicros(),
                        mModel.cachedPrompts(),
                        mModel.tokensPerPiece(),
                        mModel.swapMillis(),
                        false);
    }

    /** Fails all streams; the endpoint is unreachable until it is restarted. */
    void crash() {
        mDown = true;
        mIncarnation++;
        mPrefixCache.clear();
        List<VirtualRun> interrupted = List.copyOf(mRunning.values());
        mRunning.clear();
        for (VirtualRun run : interrupted) {
            run.mStopped = true;
            mListener.onFailure(run.mAttempt, true, FaultCode.PEER_LOST, "connection closed");
        }
    }

    void restart() {
        mDown = false;
    }

    void start(AttemptId id, VirtualRequest request) {
        mClock.schedule(LATENCY_NANOS, () -> begin(id, request));
    }

    void stop(AttemptId id) {
        VirtualRun run = mRunning.remove(id);
        if (run != null) {
            run.mStopped = true;
        }
    }

    /** Stops all runs without notifying the listener, because the agent has stopped. */
    void stopAll() {
        mRunning.values().forEach(run -> run.mStopped = true);
        mRunning.clear();
    }

    void reportState() {
        if (mDown) {
            mListener.onUnreachable();
        } else {
            mListener.onState(mModel.plain() ? 0 : mVersion, mModel.slots());
        }
    }

    void load(long version, long fence) {
        if (mDown) {
            mClock.schedule(LATENCY_NANOS, () -> finishLoad(version, "connection refused"));
            return;
        }
        if (fence < mHighestFence) {
            if (mModel.checksFence()) {
                mClock.schedule(LATENCY_NANOS, () -> finishLoad(version, "old fence"));
                return;
            }
            mAcceptedStaleOrders++;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        long incarnation = mIncarnation;
        boolean fails = mLoadsToFail > 0;
        mLoadsToFail = Math.max(0, mLoadsToFail - 1);
        mClock.schedule(
                Nanos.ofMillis(mModel.swapMillis()),
                () -> {
                    boolean failed = incarnation != mIncarnation || fails;
                    if (!failed) {
                        mVersion = version;
                    }
                    finishLoad(version, failed ? "load failed" : "");
                });
    }

    private void finishLoad(long version, String error) {
        Optional<Fault> fault =
                error.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                Fault.failed(
                                        FaultCode.ENDPOINT_ERROR, "engine.load", mName, error));
        mListener.onLoadFinished(version, fault);
    }

    private void begin(AttemptId id, VirtualRequest request) {
        if (mDown) {
            mListener.onFailure(id, false, FaultCode.PEER_LOST, "connection refused");
            return;
        }
        VirtualRun run = new VirtualRun(mName + "-" + mLog.size(), id, request, mClock.now());
        mLog.add(run);
        mRunning.put(id, run);
        boolean cached = mPrefixCache.put(request.prefix(), Boolean.TRUE) != null;
        long prefill = cached ? 0 : request.promptTokens() * mModel.prefillMicros();
        mClock.schedule(prefill * NANOS_PER_MICRO + pieceNanos(run), () -> sendNextPiece(run));
    }

    private void sendNextPiece(VirtualRun run) {
        if (run.mStopped) {
            return;
        }
        if (mStreamsToTruncate > 0) {
            mStreamsToTruncate--;
            mRunning.remove(run.mAttempt);
            run.mStopped = true;
            mListener.onFailure(run.mAttempt, true, FaultCode.TRUNCATED, "no end marker");
            return;
        }
        boolean first = run.mSentTokens == 0;
        int count = Math.min(mModel.tokensPerPiece(), run.mRequest.tokens() - run.mSentTokens);
        run.mSentTokens += count;
        if (!mModel.plain()) {
            run.mVersions.add(mVersion);
        }
        String text =
                (first ? run.answerPrefix() : "")
                        + run.pieceText(run.mSentTokens - count, run.mSentTokens);
        mListener.onPiece(
                run.mAttempt,
                text.getBytes(StandardCharsets.UTF_8),
                count,
                mModel.plain() ? 0 : mVersion);
        if (run.mSentTokens < run.mRequest.tokens()) {
            mClock.schedule(pieceNanos(run), () -> sendNextPiece(run));
            return;
        }
        run.mFinished = true;
        mRunning.remove(run.mAttempt);
        mListener.onEnd(run.mAttempt, 200, "text/plain");
    }

    private long pieceNanos(VirtualRun run) {
        int tokens = Math.min(mModel.tokensPerPiece(), run.mRequest.tokens() - run.mSentTokens);
        double load = (double) Math.max(0, mRunning.size() - 1) / Math.max(1, mModel.slots() - 1);
        double factor = (1 + mModel.batchSlowdown() * load) * mSlowdownFactor;
        return (long) (tokens * mModel.tokenMicros() * factor * NANOS_PER_MICRO);
    }
}
