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
 * An endpoint in virtual time: continuous batching, a prefix cache of limited size, weight swaps
 * under running streams, and a log of what it ran.
 *
 * <p>Not thread safe.
 */
public final class VirtualEngine {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long NANOS_PER_MICRO = 1_000;

    private final VirtualClock mTime;
    private final String mName;
    private final List<VirtualRun> mLog = new ArrayList<>();
    private final Map<AttemptId, VirtualRun> mOpen = new LinkedHashMap<>();
    private final Map<String, Boolean> mCache;
    private EngineModel mModel;
    private EndpointListener mEvents;
    private long mVersion;
    private long mHighestFence;
    private long mFencedOrders;
    private int mLoadsToFail;
    private int mStreamsToCut;
    private boolean mDown;
    private long mLife;
    private double mSlowFactor = 1;

    VirtualEngine(VirtualClock time, String name, EngineModel model, long version) {
        mTime = time;
        mName = name;
        mModel = model;
        mVersion = version;
        mCache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > mModel.cachedPrompts();
                    }
                };
    }

    void setListener(EndpointListener events) {
        mEvents = events;
    }

    /** Returns everything that the endpoint began to run. */
    public List<VirtualRun> log() {
        return mLog;
    }

    /** Returns how many orders were obeyed although a higher fence had been seen. */
    public long acceptedStaleOrders() {
        return mFencedOrders;
    }

    long version() {
        return mVersion;
    }

    int running() {
        return mOpen.size();
    }

    boolean isDown() {
        return mDown;
    }

    void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    void failLoads(int count) {
        mLoadsToFail = count;
    }

    void truncateStreams(int count) {
        mStreamsToCut = count;
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

    /** Breaks all streams off; the endpoint answers nothing until it is restarted. */
    void crash() {
        mDown = true;
        mLife++;
        mCache.clear();
        List<VirtualRun> broken = List.copyOf(mOpen.values());
        mOpen.clear();
        for (VirtualRun run : broken) {
            run.mStopped = true;
            mEvents.onFailure(run.mAttempt, true, FaultCode.PEER_LOST, "connection closed");
        }
    }

    void restart() {
        mDown = false;
    }

    void start(AttemptId id, VirtualRequest request) {
        mTime.schedule(LATENCY_NANOS, () -> begin(id, request));
    }

    void stop(AttemptId id) {
        VirtualRun run = mOpen.remove(id);
        if (run != null) {
            run.mStopped = true;
        }
    }

    /** Stops whatever runs without a word, as when the agent that asked for it is gone. */
    void stopAll() {
        mOpen.values().forEach(run -> run.mStopped = true);
        mOpen.clear();
    }

    void reportState() {
        if (mDown) {
            mEvents.onUnreachable();
        } else {
            mEvents.onState(mModel.plain() ? 0 : mVersion, mModel.slots());
        }
    }

    void load(long version, long fence) {
        if (mDown) {
            mTime.schedule(LATENCY_NANOS, () -> loaded(version, "connect refused"));
            return;
        }
        if (fence < mHighestFence) {
            if (mModel.checksFence()) {
                mTime.schedule(LATENCY_NANOS, () -> loaded(version, "old fence"));
                return;
            }
            mFencedOrders++;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        long life = mLife;
        boolean fails = mLoadsToFail > 0;
        mLoadsToFail = Math.max(0, mLoadsToFail - 1);
        mTime.schedule(
                Nanos.ofMillis(mModel.swapMillis()),
                () -> {
                    boolean lost = life != mLife || fails;
                    if (!lost) {
                        mVersion = version;
                    }
                    loaded(version, lost ? "load failed" : "");
                });
    }

    private void loaded(long version, String error) {
        Optional<Fault> fault =
                error.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                Fault.failed(
                                        FaultCode.ENDPOINT_ERROR, "engine.load", mName, error));
        mEvents.onLoadFinished(version, fault);
    }

    private void begin(AttemptId id, VirtualRequest request) {
        if (mDown) {
            mEvents.onFailure(id, false, FaultCode.PEER_LOST, "connect refused");
            return;
        }
        VirtualRun run = new VirtualRun(mName + "-" + mLog.size(), id, request, mTime.now());
        mLog.add(run);
        mOpen.put(id, run);
        boolean cached = mCache.put(request.prefix(), Boolean.TRUE) != null;
        long prefill = cached ? 0 : request.promptTokens() * mModel.prefillMicros();
        mTime.schedule(prefill * NANOS_PER_MICRO + pieceNanos(run), () -> next(run));
    }

    private void next(VirtualRun run) {
        if (run.mStopped) {
            return;
        }
        if (mStreamsToCut > 0) {
            mStreamsToCut--;
            mOpen.remove(run.mAttempt);
            run.mStopped = true;
            mEvents.onFailure(run.mAttempt, true, FaultCode.TRUNCATED, "no end mark");
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
        mEvents.onPiece(
                run.mAttempt,
                text.getBytes(StandardCharsets.UTF_8),
                count,
                mModel.plain() ? 0 : mVersion);
        if (run.mSentTokens < run.mRequest.tokens()) {
            mTime.schedule(pieceNanos(run), () -> next(run));
            return;
        }
        run.mFinished = true;
        mOpen.remove(run.mAttempt);
        mEvents.onEnd(run.mAttempt, 200, "text/plain");
    }

    private long pieceNanos(VirtualRun run) {
        int tokens = Math.min(mModel.tokensPerPiece(), run.mRequest.tokens() - run.mSentTokens);
        double load = (double) Math.max(0, mOpen.size() - 1) / Math.max(1, mModel.slots() - 1);
        double factor = (1 + mModel.batchSlowdown() * load) * mSlowFactor;
        return (long) (tokens * mModel.tokenMicros() * factor * NANOS_PER_MICRO);
    }
}
