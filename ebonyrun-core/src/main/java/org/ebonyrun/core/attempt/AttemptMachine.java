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
 * State machine of an agent: admits, queues, starts and cancels the attempts that entries offer to
 * its endpoint, and holds finished samples.
 *
 * <p>Invariants: an attempt ID starts at most once; {@code Refused} is sent only for an attempt
 * that was never handed to the endpoint; every accepted attempt that is not cancelled and whose
 * link is open ends in exactly one of {@code Done}, {@code SampleFinished}, {@code Failed} or
 * {@code Refused}; a finished sample is held until it is released; a draining agent accepts no new
 * attempts.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
public final class AttemptMachine implements Ticking {
    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long URGENT_WINDOW_NANOS = Nanos.ofMillis(5_000);

    private final VmId mVm;
    private final AttemptOutputs mOutputs;
    private final AttemptPolicy mPolicy;
    private final SampleAdmission mAdmission;
    private final SeenAttempts mSeenAttempts = new SeenAttempts();
    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private final SampleStore mSampleStore = new SampleStore();
    private final Map<AttemptId, Attempt> mAttempts = new LinkedHashMap<>();
    private final TreeMap<QueueOrder.QueuedWork, Attempt> mQueue;
    private final StepOwners mStepOwners = new StepOwners();
    private AttemptLimits mLimits;
    private long mArrivalCount;
    private long mVersion;
    private boolean mSwapping;
    private boolean mEndpointReachable = true;
    private boolean mDraining;
    private long mUrgentSamplesUntil;
    private int mRunning;
    private long mDuplicates;
    private long mUnknownEvents;

    private AttemptMachine(
            VmId vm, AttemptLimits limits, AttemptPolicy policy, AttemptOutputs outputs) {
        mVm = vm;
        mLimits = limits;
        mPolicy = policy;
        mAdmission = policy.admission().get();
        mOutputs = outputs;
        mQueue = new TreeMap<>(policy.order().comparator());
    }

    /** Creates the state machine of one endpoint. */
    public static AttemptMachine create(
            VmId vm, AttemptLimits limits, AttemptPolicy policy, AttemptOutputs outputs) {
        return new AttemptMachine(vm, limits, policy, outputs);
    }

    /**
     * Handles a message from an entry.
     *
     * @param link the number of the link that the message arrived on
     */
    public void onMessage(long link, AttemptMessage message, long now) {
        if (message instanceof AttemptMessage.Offer offer) {
            onOffer(link, offer, now);
        } else if (message instanceof AttemptMessage.CancelAttempt cancel) {
            onCancel(cancel.id(), now);
        } else if (message instanceof AttemptMessage.FetchSample fetch) {
            onFetch(link, fetch.key(), now);
        } else if (message instanceof AttemptMessage.ReleaseSamples release) {
            release.keys().forEach(mSampleStore::release);
        } else if (message instanceof AttemptMessage.HeldQuery query) {
            onHeldQuery(link, query, now);
        } else if (message instanceof AttemptMessage.CloseStep close) {
            onCloseStep(close, now);
        } else {
            mUnknownEvents++;
        }
    }

    /**
     * Handles the loss of the link to an entry. Cancels its queued calls and its idempotent calls.
     * Samples and running non-idempotent calls continue.
     */
    public void onLinkClosed(long link, long now) {
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            boolean cancels = attempt.mPhase == Attempt.Phase.QUEUED || attempt.mJob.idempotent();
            if (attempt.mLink == link && !attempt.isSample() && cancels) {
                onCancel(attempt.mId, now);
            }
        }
    }

    /**
     * Handles a piece of the endpoint's response.
     *
     * @param version the weight version that the endpoint reports with the piece; zero for none
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

    /** Handles the end of a complete response of the endpoint. */
    public void onEnd(AttemptId id, int status, String contentType, long now) {
        Attempt attempt = remove(id);
        if (attempt == null) {
            mUnknownEvents++;
            return;
        }
        boolean success = status / 100 == 2;
        if (success) {
            mServiceTimes.add(attempt.mJob.className(), Nanos.toMillis(now - attempt.mStartedAt));
        }
        if (!attempt.isSample()) {
            mAdmission.onCallEnd(now <= attempt.mTargetAt, attempt.mJob.targetQuantile());
            mOutputs.send(attempt.mLink, doneMessage(attempt, status, contentType, now));
        } else if (success) {
            finishSample(attempt, now);
        } else {
            fail(attempt, endpointErrorFault("status " + status), now);
        }
        startQueued(now);
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param sent whether any byte of the job may have reached the endpoint
     */
    public void onFailure(AttemptId id, boolean sent, FaultCode code, String detail, long now) {
        Attempt attempt = remove(id);
        if (attempt == null) {
            mUnknownEvents++;
            return;
        }
        String step = sent ? "endpoint.answer" : "endpoint.connect";
        if (sent) {
            fail(attempt, Fault.unknown(code, step, mVm.value(), detail), now);
        } else {
            Fault fault = Fault.notRun(code, step, mVm.value(), detail);
            refuse(attempt.mLink, id, fault.withRetryAfterMillis(MIN_RETRY_AFTER_MILLIS), now);
        }
        startQueued(now);
    }

    /** Updates the weight version and the number of slots that the endpoint reports. */
    public void onEndpointState(long version, int slots, long now) {
        mVersion = version;
        mEndpointReachable = true;
        mLimits = new AttemptLimits(slots, mLimits.maxQueued(), mLimits.maxHeldBytes());
        startQueued(now);
    }

    /**
     * Marks the endpoint as unreachable. No attempt is accepted until the next {@link
     * #onEndpointState}.
     */
    public void onEndpointUnreachable() {
        mEndpointReachable = false;
    }

    /** Updates whether a weight swap is in progress. */
    public void onSwapping(boolean swapping, long now) {
        mSwapping = swapping;
        startQueued(now);
    }

    /** Starts draining: new work is refused, accepted work is completed. */
    public void onDrain() {
        mDraining = true;
    }

    /** Returns whether no attempt is open and no sample is held, so a draining agent may exit. */
    public boolean isIdle() {
        return mAttempts.isEmpty() && mSampleStore.size() == 0;
    }

    /** Returns the load to report to entries. */
    public EndpointLoad load(long now) {
        return new EndpointLoad(
                mEndpointReachable ? mLimits.slots() : 0,
                mRunning,
                mQueue.size(),
                sampleRoom(now),
                mVersion,
                mSwapping,
                mDraining,
                urgentRoom());
    }

    /** Returns a snapshot of the state for the admin dump. */
    public Dump dump(long now) {
        return new Dump(
                load(now),
                mAttempts.size(),
                mSampleStore.size(),
                mSampleStore.totalBytes(),
                mDuplicates,
                mUnknownEvents);
    }

    /**
     * A snapshot of the state for operators.
     *
     * @param load the load
     * @param attempts the number of open attempts
     * @param held the number of finished samples held
     * @param heldBytes the total size of these samples, in bytes
     * @param duplicates the number of offers ignored because their ID had arrived before
     * @param unknownEvents the number of ignored events: those of closed or unknown attempts, and
     *     messages of an unexpected type
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
                timeOut(attempt, now);
            }
        }
        releaseInactiveSteps(now);
        startQueued(now);
    }

    /**
     * Releases the held samples of steps without an active owner. A later owner can run these
     * samples again.
     */
    private void releaseInactiveSteps(long now) {
        mStepOwners.removeInactive(now).forEach(this::releaseStep);
    }

    private void releaseStep(StepKey step) {
        mSampleStore
                .findByStep(step.trainer(), step.step())
                .forEach(held -> mSampleStore.release(held.key()));
    }

    private void onOffer(long link, AttemptMessage.Offer offer, long now) {
        if (!mSeenAttempts.add(offer.id())) {
            mDuplicates++;
            return;
        }
        Job job = offer.job();
        Fault refusal = checkAdmission(link, job, now);
        if (refusal != null) {
            refuse(link, offer.id(), refusal, now);
            return;
        }
        long service = mServiceTimes.medianMillis(job.className());
        Attempt attempt = new Attempt(offer.id(), job, link, mArrivalCount++, service, now);
        mAttempts.put(offer.id(), attempt);
        mQueue.put(attempt.mQueueKey, attempt);
        mAdmission.updateOpenCalls(openCalls(), now);
        startQueued(now);
    }

    private @Nullable Fault checkAdmission(long link, Job job, long now) {
        if (mDraining) {
            return notRunFault(FaultCode.DRAINING, "the endpoint is draining");
        }
        if (!mEndpointReachable) {
            return notRunFault(FaultCode.NO_ENDPOINT, "the endpoint is unreachable");
        }
        if (job.minVersion() > mVersion) {
            String detail = "weight version " + mVersion + " is below " + job.minVersion();
            return notRunFault(FaultCode.STALE_WEIGHTS, detail);
        }
        if (job.sample() != null) {
            return checkSampleAdmission(link, job, job.sample(), now);
        }
        if (mQueue.size() >= mLimits.maxQueued()) {
            return notRunFault(FaultCode.OVERLOADED, "the queue is full");
        }
        int ahead = callsAhead(now);
        int slots = callSlots(now);
        if (mPolicy.refusesLateCalls()
                && ahead > 0
                && predictMillis(job, ahead, slots) > job.targetMillis()) {
            mAdmission.onCallEnd(false, job.targetQuantile());
            double wait = ahead * mServiceTimes.meanMillis(job.className()) / slots;
            return notRunFault(FaultCode.OVERLOADED, "the call would miss its target latency")
                    .withRetryAfterMillis(Math.max(MIN_RETRY_AFTER_MILLIS, (long) wait));
        }
        return null;
    }

    private @Nullable Fault checkSampleAdmission(long link, Job job, SampleKey key, long now) {
        StepKey step = StepKey.of(key);
        if (mStepOwners.isFenced(step, job.fence())) {
            String detail = "fence " + job.fence() + " is below " + mStepOwners.highestFence(step);
            return notRunFault(FaultCode.FENCED, detail);
        }
        mStepOwners.setOwner(step, link, job.fence(), now);
        int available = sampleRoom(now);
        if (job.isUrgentSample()) {
            available = Math.max(available, urgentRoom());
            mUrgentSamplesUntil = now + URGENT_WINDOW_NANOS;
        }
        if (available <= 0) {
            return notRunFault(FaultCode.OVERLOADED, "no slot is free for samples");
        }
        return null;
    }

    /** Returns how many calls must end before a new one starts; zero if it starts immediately. */
    private int callsAhead(long now) {
        return Math.max(0, openCalls() - callSlots(now) + 1);
    }

    /**
     * Returns the number of slots that samples leave to calls. While urgent samples arrive, the
     * slots that they may use count as occupied.
     */
    private int callSlots(long now) {
        int samples = mAttempts.size() - openCalls();
        int urgent =
                now < mUrgentSamplesUntil
                        ? mAdmission.admissibleUrgentSamples(mLimits.slots(), 0)
                        : 0;
        return Math.max(1, mLimits.slots() - Math.max(samples, urgent));
    }

    /**
     * Predicts the target quantile of a call's latency, in milliseconds, when {@code ahead} calls
     * must end before it starts. The prediction is the mean wait plus the mean service time plus
     * the combined deviation of both. The deviation of the wait shrinks with the number of slots
     * that serve the queue in parallel.
     */
    private double predictMillis(Job job, int ahead, int callSlots) {
        double mean = mServiceTimes.meanMillis(job.className());
        double quantile = mServiceTimes.quantileMillis(job.className(), job.targetQuantile());
        double wait = ahead * mean / callSlots;
        double deviation = Math.max(0, quantile - mean);
        double widening = Math.sqrt(1 + (double) ahead / (callSlots * callSlots));
        return wait + mean + deviation * widening;
    }

    private int sampleRoom(long now) {
        int calls = openCalls();
        return acceptsSamples()
                ? mAdmission.admissibleSamples(
                        mLimits.slots(), calls, mAttempts.size() - calls, now)
                : 0;
    }

    private int urgentRoom() {
        int samples = mAttempts.size() - openCalls();
        return acceptsSamples() ? mAdmission.admissibleUrgentSamples(mLimits.slots(), samples) : 0;
    }

    private boolean acceptsSamples() {
        return !mDraining
                && mEndpointReachable
                && !mSwapping
                && mSampleStore.totalBytes() < mLimits.maxHeldBytes();
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

    private void startQueued(long now) {
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
        startQueued(now);
    }

    private void timeOut(Attempt attempt, long now) {
        remove(attempt.mId);
        String detail = "timeout of " + attempt.mJob.timeoutMillis() + " ms exceeded";
        if (attempt.mPhase == Attempt.Phase.QUEUED) {
            refuse(attempt.mLink, attempt.mId, notRunFault(FaultCode.DEADLINE, detail), now);
            return;
        }
        mOutputs.stop(attempt.mId);
        fail(
                attempt,
                Fault.unknown(FaultCode.DEADLINE, "endpoint.answer", mVm.value(), detail),
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
        SampleStore.StoredSample stored = mSampleStore.addIfAbsent(key, info, content);
        mOutputs.send(
                ownerLink(attempt, key),
                new AttemptMessage.SampleFinished(attempt.mId, key, stored.info(), load(now)));
    }

    private long ownerLink(Attempt attempt, SampleKey key) {
        return mStepOwners.ownerLink(StepKey.of(key), attempt.mLink);
    }

    private AttemptMessage doneMessage(Attempt attempt, int status, String contentType, long now) {
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
        mStepOwners.touch(StepKey.of(key), now);
        SampleStore.StoredSample stored = mSampleStore.get(key);
        mOutputs.send(
                link,
                stored == null
                        ? new AttemptMessage.SampleContent(key, null, null)
                        : new AttemptMessage.SampleContent(key, stored.content(), stored.info()));
    }

    private void onHeldQuery(long link, AttemptMessage.HeldQuery query, long now) {
        StepKey step = new StepKey(query.trainer(), query.step());
        if (mStepOwners.isFenced(step, query.fence())) {
            return;
        }
        mStepOwners.setOwner(step, link, query.fence(), now);
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
                        mSampleStore.findByStep(query.trainer(), query.step()),
                        running));
    }

    private void onCloseStep(AttemptMessage.CloseStep close, long now) {
        StepKey step = new StepKey(close.trainer(), close.step());
        if (mStepOwners.isFenced(step, close.fence())) {
            return;
        }
        mStepOwners.remove(step);
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            SampleKey key = attempt.mJob.sample();
            if (key != null && step.equals(StepKey.of(key))) {
                onCancel(attempt.mId, now);
            }
        }
        releaseStep(step);
    }

    private Fault notRunFault(FaultCode code, String detail) {
        return Fault.notRun(code, "agent.admit", mVm.value(), detail)
                .withRetryAfterMillis(MIN_RETRY_AFTER_MILLIS);
    }

    private Fault endpointErrorFault(String detail) {
        return Fault.failed(FaultCode.ENDPOINT_ERROR, "endpoint.answer", mVm.value(), detail);
    }
}
