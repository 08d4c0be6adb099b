package org.ebonyrun.core.attempt;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.StepOwners.StepKey;
import org.jspecify.annotations.Nullable;

/**
 * Decides what an agent does with the attempts that entries offer to its endpoint.
 *
 * <p>Invariants: an attempt id starts at most once; {@code Refused} is sent only for an attempt
 * that was never handed to the endpoint; every accepted attempt whose link is open ends in exactly
 * one of {@code Done}, {@code SampleFinished}, {@code Failed} or {@code Refused}; a finished sample
 * is held until it is released; nothing new starts once draining.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
public final class AttemptMachine implements Ticking {
    private static final long MIN_RETRY_MILLIS = 50;
    private static final long URGENT_NANOS = Nanos.ofMillis(5_000);

    private final VmId mSelf;
    private final AttemptOutputs mOutputs;
    private final AttemptPolicy mPolicy;
    private final SampleAdmission mAdmission;
    private final SeenAttempts mSeen = new SeenAttempts();
    private final ServiceTimes mTimes = new ServiceTimes();
    private final SampleStore mStore = new SampleStore();
    private final Map<AttemptId, Attempt> mAttempts = new LinkedHashMap<>();
    private final TreeMap<QueueOrder.QueuedWork, Attempt> mQueue;
    private final StepOwners mOwners = new StepOwners();
    private AttemptLimits mLimits;
    private long mArrivals;
    private long mVersion;
    private boolean mSwapping;
    private boolean mReachable = true;
    private boolean mDraining;
    private long mUrgentUntil;
    private int mRunning;
    private long mDuplicates;
    private long mUnknownEvents;

    private AttemptMachine(
            VmId self, AttemptLimits limits, AttemptPolicy policy, AttemptOutputs outputs) {
        mSelf = self;
        mLimits = limits;
        mPolicy = policy;
        mAdmission = policy.admission().get();
        mOutputs = outputs;
        mQueue = new TreeMap<>(policy.order().comparator());
    }

    /** Creates a machine for one endpoint. */
    public static AttemptMachine create(
            VmId self, AttemptLimits limits, AttemptPolicy policy, AttemptOutputs outputs) {
        return new AttemptMachine(self, limits, policy, outputs);
    }

    /** Handles a message of an entry. */
    public void onMessage(long link, AttemptMessage message, long now) {
        if (message instanceof AttemptMessage.Offer offer) {
            onOffer(link, offer, now);
        } else if (message instanceof AttemptMessage.CancelAttempt cancel) {
            onCancel(cancel.id(), now);
        } else if (message instanceof AttemptMessage.FetchSample fetch) {
            onFetch(link, fetch.key(), now);
        } else if (message instanceof AttemptMessage.ReleaseSamples release) {
            release.keys().forEach(mStore::release);
        } else if (message instanceof AttemptMessage.HeldQuery query) {
            onHeldQuery(link, query, now);
        } else if (message instanceof AttemptMessage.CloseStep close) {
            onCloseStep(close, now);
        } else {
            mUnknownEvents++;
        }
    }

    /** Handles the loss of an entry: its idempotent calls are stopped, samples go on. */
    public void onLinkClosed(long link, long now) {
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            boolean abandon = attempt.mPhase == Attempt.Phase.QUEUED || attempt.mJob.idempotent();
            if (attempt.mLink == link && !attempt.isSample() && abandon) {
                onCancel(attempt.mId, now);
            }
        }
    }

    /**
     * Handles a piece of the endpoint's answer.
     *
     * @param version the weight version stated with the piece; zero for none
     */
    public void onPiece(AttemptId id, byte[] data, int tokens, long version, long now) {
        Attempt attempt = mAttempts.get(id);
        if (attempt == null) {
            mUnknownEvents++;
            return;
        }
        attempt.mTokens += tokens;
        mAdmission.onTokens(attempt.mJob.kind(), tokens);
        if (version > 0) {
            attempt.mVersions.add(version);
            mVersion = Math.max(mVersion, version);
        }
        if (attempt.isSample()) {
            attempt.mContent.writeBytes(data);
        } else {
            mOutputs.send(attempt.mLink, new AttemptMessage.Piece(id, attempt.mPieces, data));
        }
        attempt.mPieces++;
    }

    /** Handles the end of the endpoint's whole answer. */
    public void onEnd(AttemptId id, int status, String contentType, long now) {
        Attempt attempt = remove(id);
        if (attempt == null) {
            mUnknownEvents++;
            return;
        }
        boolean success = status / 100 == 2;
        if (success) {
            mTimes.add(attempt.mJob.className(), Nanos.toMillis(now - attempt.mStartedAt));
        }
        if (!attempt.isSample()) {
            mAdmission.onCallEnd(now <= attempt.mTargetAt, attempt.mJob.targetQuantile());
            mOutputs.send(attempt.mLink, done(attempt, status, contentType, now));
        } else if (success) {
            finishSample(attempt, now);
        } else {
            fail(attempt, endpointError("status " + status), now);
        }
        pump(now);
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param sent whether a byte of the job may have reached the endpoint
     */
    public void onFailure(AttemptId id, boolean sent, FaultCode code, String detail, long now) {
        Attempt attempt = remove(id);
        if (attempt == null) {
            mUnknownEvents++;
            return;
        }
        String step = sent ? "endpoint.answer" : "endpoint.connect";
        if (sent) {
            fail(attempt, Fault.unknown(code, step, mSelf.value(), detail), now);
        } else {
            Fault fault = Fault.notRun(code, step, mSelf.value(), detail);
            refuse(attempt.mLink, id, fault.withRetryAfterMillis(MIN_RETRY_MILLIS), now);
        }
        pump(now);
    }

    /** Takes note of the version and the number of slots that the endpoint states. */
    public void onEndpointState(long version, int slots, long now) {
        mVersion = version;
        mReachable = true;
        mLimits = new AttemptLimits(slots, mLimits.maxQueued(), mLimits.maxHeldBytes());
        pump(now);
    }

    /** Takes note that the endpoint does not answer; nothing is accepted until it does. */
    public void onEndpointUnreachable() {
        mReachable = false;
    }

    /** Takes note that a swap of weights began or ended. */
    public void onSwapping(boolean swapping, long now) {
        mSwapping = swapping;
        pump(now);
    }

    /** Refuses new work from now on; what was accepted is finished. */
    public void onDrain() {
        mDraining = true;
    }

    /** Returns whether a draining agent may exit: no attempt is open and no sample is held. */
    public boolean isIdle() {
        return mAttempts.isEmpty() && mStore.size() == 0;
    }

    /** Returns the load to report. */
    public EndpointLoad load(long now) {
        return new EndpointLoad(
                mReachable ? mLimits.slots() : 0,
                mRunning,
                mQueue.size(),
                sampleRoom(now),
                mVersion,
                mSwapping,
                mDraining,
                urgentRoom());
    }

    /** Returns the state for a dump. */
    public Dump dump(long now) {
        return new Dump(
                load(now),
                mAttempts.size(),
                mStore.size(),
                mStore.totalBytes(),
                mDuplicates,
                mUnknownEvents);
    }

    /**
     * The state of the machine for people.
     *
     * @param load the load
     * @param attempts open attempts
     * @param held finished samples
     * @param heldBytes their size in bytes
     * @param duplicates offers that were ignored because their id had arrived before
     * @param unknownEvents events of attempts that are closed or unknown
     */
    public record Dump(
            EndpointLoad load,
            int attempts,
            int held,
            long heldBytes,
            long duplicates,
            long unknownEvents) {}

    @Override
    public void onTick(long now) {
        mAdmission.updateOpenCalls(openCalls(), now);
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            if (now - attempt.mDeadline >= 0) {
                giveUp(attempt, now);
            }
        }
        releaseOrphans(now);
        pump(now);
    }

    /** Releases what is held of steps whose owners have been silent for long; it can run again. */
    private void releaseOrphans(long now) {
        mOwners.removeOrphans(now).forEach(this::releaseStep);
    }

    private void releaseStep(StepKey step) {
        mStore.findByStep(step.trainer(), step.step()).forEach(held -> mStore.release(held.key()));
    }

    private void onOffer(long link, AttemptMessage.Offer offer, long now) {
        if (!mSeen.add(offer.id())) {
            mDuplicates++;
            return;
        }
        Job job = offer.job();
        Fault refusal = refusal(link, job, now);
        if (refusal != null) {
            refuse(link, offer.id(), refusal, now);
            return;
        }
        long service = mTimes.medianMillis(job.className());
        Attempt attempt = new Attempt(offer.id(), job, link, mArrivals++, service, now);
        mAttempts.put(offer.id(), attempt);
        mQueue.put(attempt.mQueueKey, attempt);
        mAdmission.updateOpenCalls(openCalls(), now);
        pump(now);
    }

    private @Nullable Fault refusal(long link, Job job, long now) {
        if (mDraining) {
            return notRun(FaultCode.DRAINING, "the endpoint is leaving");
        }
        if (!mReachable) {
            return notRun(FaultCode.NO_ENDPOINT, "the endpoint does not answer");
        }
        if (job.minVersion() > mVersion) {
            String detail = "version " + mVersion + " is below " + job.minVersion();
            return notRun(FaultCode.STALE_WEIGHTS, detail);
        }
        if (job.sample() != null) {
            return sampleRefusal(link, job, job.sample(), now);
        }
        if (mQueue.size() >= mLimits.maxQueued()) {
            return notRun(FaultCode.OVERLOADED, "the queue is full");
        }
        int ahead = callsAhead(now);
        int slots = callSlots(now);
        if (mPolicy.refusesLateCalls()
                && ahead > 0
                && predictedMillis(job, ahead, slots) > job.targetMillis()) {
            mAdmission.onCallEnd(false, job.targetQuantile());
            double wait = ahead * mTimes.meanMillis(job.className()) / slots;
            return notRun(FaultCode.OVERLOADED, "the target would be missed")
                    .withRetryAfterMillis(Math.max(MIN_RETRY_MILLIS, (long) wait));
        }
        return null;
    }

    private @Nullable Fault sampleRefusal(long link, Job job, SampleKey key, long now) {
        StepKey step = StepKey.of(key);
        if (mOwners.isFenced(step, job.fence())) {
            String detail = "fence " + job.fence() + " is below " + mOwners.highestFence(step);
            return notRun(FaultCode.FENCED, detail);
        }
        mOwners.setOwner(step, link, job.fence(), now);
        int room = sampleRoom(now);
        if (job.isUrgentSample()) {
            room = Math.max(room, urgentRoom());
            mUrgentUntil = now + URGENT_NANOS;
        }
        if (room <= 0) {
            return notRun(FaultCode.OVERLOADED, "no room for samples");
        }
        return null;
    }

    /** Returns how many calls must end before one more can start; zero if it starts at once. */
    private int callsAhead(long now) {
        return Math.max(0, openCalls() - callSlots(now) + 1);
    }

    /**
     * Returns the slots that samples leave to calls. While urgent samples come, they are taken to
     * fill their part.
     */
    private int callSlots(long now) {
        int samples = mAttempts.size() - openCalls();
        int urgent =
                now < mUrgentUntil ? mAdmission.admissibleUrgentSamples(mLimits.slots(), 0) : 0;
        return Math.max(1, mLimits.slots() - Math.max(samples, urgent));
    }

    /**
     * Predicts the quantile of a call's time to its end when others are ahead of it: the mean wait,
     * the mean service, and the deviation of both together, in which that of the wait shrinks with
     * the number of slots that work it off.
     */
    private double predictedMillis(Job job, int ahead, int callSlots) {
        double mean = mTimes.meanMillis(job.className());
        double quantile = mTimes.quantileMillis(job.className(), job.targetQuantile());
        double wait = ahead * mean / callSlots;
        double deviation = Math.max(0, quantile - mean);
        double widening = Math.sqrt(1 + (double) ahead / (callSlots * callSlots));
        return wait + mean + deviation * widening;
    }

    private int sampleRoom(long now) {
        int calls = openCalls();
        return takesSamples()
                ? mAdmission.admissibleSamples(
                        mLimits.slots(), calls, mAttempts.size() - calls, now)
                : 0;
    }

    private int urgentRoom() {
        int samples = mAttempts.size() - openCalls();
        return takesSamples() ? mAdmission.admissibleUrgentSamples(mLimits.slots(), samples) : 0;
    }

    private boolean takesSamples() {
        return !mDraining
                && mReachable
                && !mSwapping
                && mStore.totalBytes() < mLimits.maxHeldBytes();
    }

    private int openCalls() {
        int calls = 0;
        for (Attempt attempt : mAttempts.values()) {
            if (!attempt.isSample()) {
                calls++;
            }
        }
        return calls;
    }

    private void pump(long now) {
        while (mRunning < mLimits.slots() && !mQueue.isEmpty()) {
            Attempt next = mQueue.pollFirstEntry().getValue();
            next.mPhase = Attempt.Phase.RUNNING;
            next.mStartedAt = now;
            mRunning++;
            mOutputs.start(next.mId, next.mJob);
        }
    }

    private void onCancel(AttemptId id, long now) {
        Attempt attempt = remove(id);
        if (attempt == null) {
            return;
        }
        if (attempt.mPhase == Attempt.Phase.RUNNING) {
            mOutputs.stop(id);
        }
        pump(now);
    }

    private void giveUp(Attempt attempt, long now) {
        remove(attempt.mId);
        String detail = "timeout of " + attempt.mJob.timeoutMillis() + " ms";
        if (attempt.mPhase == Attempt.Phase.QUEUED) {
            refuse(attempt.mLink, attempt.mId, notRun(FaultCode.DEADLINE, detail), now);
            return;
        }
        mOutputs.stop(attempt.mId);
        fail(
                attempt,
                Fault.unknown(FaultCode.DEADLINE, "endpoint.answer", mSelf.value(), detail),
                now);
    }

    private @Nullable Attempt remove(AttemptId id) {
        Attempt attempt = mAttempts.remove(id);
        if (attempt == null) {
            return null;
        }
        if (attempt.mPhase == Attempt.Phase.RUNNING) {
            mRunning--;
        } else {
            mQueue.remove(attempt.mQueueKey);
        }
        return attempt;
    }

    private void finishSample(Attempt attempt, long now) {
        SampleKey key = requireNonNull(attempt.mJob.sample());
        byte[] content = attempt.mContent.toByteArray();
        SampleInfo info = new SampleInfo(content.length, attempt.mTokens, attempt.versions());
        SampleStore.StoredSample stored = mStore.addIfAbsent(key, info, content);
        mOutputs.send(
                ownerLink(attempt, key),
                new AttemptMessage.SampleFinished(attempt.mId, key, stored.info(), load(now)));
    }

    private long ownerLink(Attempt attempt, SampleKey key) {
        return mOwners.ownerLink(StepKey.of(key), attempt.mLink);
    }

    private AttemptMessage done(Attempt attempt, int status, String contentType, long now) {
        return new AttemptMessage.Done(
                attempt.mId,
                attempt.mPieces,
                status,
                contentType,
                attempt.mTokens,
                attempt.versions(),
                load(now));
    }

    private void fail(Attempt attempt, Fault fault, long now) {
        SampleKey key = attempt.mJob.sample();
        long link = key == null ? attempt.mLink : ownerLink(attempt, key);
        mOutputs.send(link, new AttemptMessage.Failed(attempt.mId, fault, load(now)));
    }

    private void refuse(long link, AttemptId id, Fault fault, long now) {
        mOutputs.send(link, new AttemptMessage.Refused(id, fault, load(now)));
    }

    private void onFetch(long link, SampleKey key, long now) {
        mOwners.touch(StepKey.of(key), now);
        SampleStore.StoredSample stored = mStore.get(key);
        mOutputs.send(
                link,
                stored == null
                        ? new AttemptMessage.SampleContent(key, null, null)
                        : new AttemptMessage.SampleContent(key, stored.content(), stored.info()));
    }

    private void onHeldQuery(long link, AttemptMessage.HeldQuery query, long now) {
        StepKey step = new StepKey(query.trainer(), query.step());
        if (mOwners.isFenced(step, query.fence())) {
            return;
        }
        mOwners.setOwner(step, link, query.fence(), now);
        List<SampleKey> running = new ArrayList<>();
        for (Attempt attempt : mAttempts.values()) {
            SampleKey key = attempt.mJob.sample();
            if (key != null && step.equals(StepKey.of(key))) {
                running.add(key);
            }
        }
        mOutputs.send(
                link,
                new AttemptMessage.HeldSamples(
                        query.trainer(),
                        query.step(),
                        mStore.findByStep(query.trainer(), query.step()),
                        running));
    }

    private void onCloseStep(AttemptMessage.CloseStep close, long now) {
        StepKey step = new StepKey(close.trainer(), close.step());
        if (mOwners.isFenced(step, close.fence())) {
            return;
        }
        mOwners.remove(step);
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            SampleKey key = attempt.mJob.sample();
            if (key != null && step.equals(StepKey.of(key))) {
                onCancel(attempt.mId, now);
            }
        }
        releaseStep(step);
    }

    private Fault notRun(FaultCode code, String detail) {
        return Fault.notRun(code, "agent.admit", mSelf.value(), detail)
                .withRetryAfterMillis(MIN_RETRY_MILLIS);
    }

    private Fault endpointError(String detail) {
        return Fault.failed(FaultCode.ENDPOINT_ERROR, "endpoint.answer", mSelf.value(), detail);
    }
}
