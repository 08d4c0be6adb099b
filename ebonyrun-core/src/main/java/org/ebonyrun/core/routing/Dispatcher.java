package org.ebonyrun.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.Job;
import org.jspecify.annotations.Nullable;

/**
 * Places work on endpoints, retries it, and tracks its attempts.
 *
 * <p>Invariants: work has at most one open attempt; a non-idempotent call is never sent again once
 * an attempt may have run; a call that is not cancelled ends in exactly one of {@link
 * DispatchOutputs#onAnswer} and {@link DispatchOutputs#onFault}; a response is delivered only if
 * the number of received pieces matches that of its end marker; messages of closed or unknown
 * attempts are counted and dropped, except that a finished sample is still reported.
 *
 * <p>Not thread safe; confined to the dispatch event loop.
 */
public final class Dispatcher implements Ticking {
    private static final double RETRIES_PER_ATTEMPT = 0.1;
    private static final double MAX_SAVED_RETRIES = 20;
    private static final long RETRY_AFTER_MILLIS = 100;
    private static final int MAX_SAMPLE_FAILURES = 4;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final long mIncarnation;
    private final EndpointChooser mChooser;
    private final DispatchOutputs mOutputs;
    private final Map<VmId, EndpointView> mEndpoints = new TreeMap<>();
    private final Map<AttemptId, PendingWork> mOpenAttempts = new HashMap<>();
    private final Map<Long, PendingWork> mPendingWork = new HashMap<>();
    private final TreeMap<Work, PendingWork> mWaitingSamples =
            new TreeMap<>(Comparator.comparingLong(Work::targetAt).thenComparingLong(Work::id));
    private final Map<ClassName, RetryBudget> mRetryBudgets = new HashMap<>();
    private final Map<TrainerId, Long> mMinVersions = new HashMap<>();
    private long mAttemptCounter;
    private long mUnknownMessages;
    private long mRetries;

    private Dispatcher(long incarnation, EndpointChooser chooser, DispatchOutputs outputs) {
        mIncarnation = incarnation;
        mChooser = chooser;
        mOutputs = outputs;
    }

    /**
     * Creates a dispatcher without endpoints.
     *
     * @param incarnation a random number chosen at the start of the process
     */
    public static Dispatcher create(
            long incarnation, EndpointChooser chooser, DispatchOutputs outputs) {
        return new Dispatcher(incarnation, chooser, outputs);
    }

    /** Starts work. Samples wait until an endpoint accepts them; calls are placed immediately. */
    public void submit(Work work, long now) {
        PendingWork pending = new PendingWork(work);
        mPendingWork.put(work.id(), pending);
        if (work.isSample()) {
            mWaitingSamples.put(work, pending);
            placeWaitingSamples(now);
            return;
        }
        retryBudget(work.className()).onFirstAttempt();
        place(pending, null, now);
    }

    /** Stops tracking work without cancelling its attempt, which another owner takes over. */
    public void detach(long workId) {
        PendingWork pending = mPendingWork.get(workId);
        if (pending != null) {
            endWork(pending);
        }
    }

    /** Cancels work and its open attempt; no output follows. */
    public void cancel(long workId) {
        PendingWork pending = mPendingWork.get(workId);
        if (pending == null) {
            return;
        }
        cancelAttempt(pending);
        endWork(pending);
    }

    /** Sets the oldest weight version that may produce samples for a trainer. */
    public void setMinVersion(TrainerId trainer, long version, long now) {
        mMinVersions.put(trainer, version);
        placeWaitingSamples(now);
    }

    /** Sets whether an endpoint may get new work. */
    public void setEndpointUsable(
            VmId vm, ServiceName service, FailureDomain domain, boolean usable, long now) {
        EndpointView view =
                mEndpoints.computeIfAbsent(vm, key -> EndpointView.create(vm, service, domain));
        view.setUsable(usable);
        placeWaitingSamples(now);
    }

    /** Handles the loss of the link to an endpoint's agent: its open attempts may have run. */
    public void onLinkLost(VmId vm, long now) {
        mEndpoints.remove(vm);
        List<PendingWork> lostWork = new ArrayList<>();
        for (PendingWork pending : mOpenAttempts.values()) {
            if (vm.equals(pending.mVm)) {
                lostWork.add(pending);
            }
        }
        for (PendingWork pending : lostWork) {
            Fault fault =
                    Fault.unknown(
                            FaultCode.PEER_LOST,
                            "agent.link",
                            vm.value(),
                            "the link to the agent was lost");
            onAttemptFailed(pending, fault, now);
        }
    }

    /** Handles a message from an agent. */
    public void onMessage(VmId vm, AttemptMessage message, long now) {
        if (message instanceof AttemptMessage.Piece piece) {
            onPiece(vm, piece, now);
        } else if (message instanceof AttemptMessage.Done done) {
            onLoad(vm, done.load());
            onDone(vm, done, now);
        } else if (message instanceof AttemptMessage.Refused refused) {
            onLoad(vm, refused.load());
            onRefused(vm, refused, now);
        } else if (message instanceof AttemptMessage.Failed failed) {
            onLoad(vm, failed.load());
            PendingWork pending = findOpenAttempt(vm, failed.id());
            if (pending != null) {
                onAttemptFailed(pending, failed.fault(), now);
            }
        } else if (message instanceof AttemptMessage.SampleFinished finished) {
            onLoad(vm, finished.load());
            onSampleFinished(vm, finished, now);
        } else if (message instanceof AttemptMessage.LoadReport report) {
            onLoad(vm, report.load());
        } else {
            mUnknownMessages++;
        }
        placeWaitingSamples(now);
    }

    /** Updates the load of an endpoint from a heartbeat. */
    public void onHeartbeat(VmId vm, EndpointLoad load, long now) {
        onLoad(vm, load);
        placeWaitingSamples(now);
    }

    @Override
    public void onTick(long now) {
        for (PendingWork pending : List.copyOf(mPendingWork.values())) {
            if (now - pending.mWork.deadline() >= 0) {
                timeOut(pending);
            }
        }
        placeWaitingSamples(now);
    }

    /** Returns the known endpoints. */
    public List<EndpointView> endpoints() {
        return List.copyOf(mEndpoints.values());
    }

    /** Returns a snapshot of the state for the admin dump. */
    public Dump dump() {
        List<EndpointDump> endpoints = new ArrayList<>();
        for (EndpointView view : mEndpoints.values()) {
            endpoints.add(
                    new EndpointDump(
                            view.vm(),
                            view.service(),
                            view.isUsable(),
                            view.freeSlots(),
                            view.load()));
        }
        return new Dump(
                mPendingWork.size(),
                mOpenAttempts.size(),
                mWaitingSamples.size(),
                mRetries,
                mUnknownMessages,
                endpoints);
    }

    /**
     * A snapshot of the state for operators.
     *
     * @param works the number of unfinished calls and samples
     * @param attempts the number of open attempts
     * @param waitingSamples the number of samples that wait for an endpoint
     * @param retries the number of calls sent again after an attempt that may have run
     * @param unknownMessages the number of messages of an unexpected type or of closed or unknown
     *     attempts
     * @param endpoints the endpoints
     */
    public record Dump(
            int works,
            int attempts,
            int waitingSamples,
            long retries,
            long unknownMessages,
            List<EndpointDump> endpoints) {}

    /**
     * A snapshot of one endpoint for operators.
     *
     * @param vm the VM of the endpoint
     * @param service its service
     * @param usable whether it may get new work
     * @param free the number of calls that would start immediately
     * @param load its last reported load
     */
    public record EndpointDump(
            VmId vm, ServiceName service, boolean usable, int free, EndpointLoad load) {}

    private void onLoad(VmId vm, EndpointLoad load) {
        EndpointView view = mEndpoints.get(vm);
        if (view != null) {
            view.onLoad(load);
        }
    }

    private void onPiece(VmId vm, AttemptMessage.Piece piece, long now) {
        PendingWork pending = findOpenAttempt(vm, piece.id());
        if (pending == null) {
            return;
        }
        boolean tooLarge = pending.mBody.size() + piece.data().length > MAX_RESPONSE_BYTES;
        if (piece.index() != pending.mPieces || tooLarge) {
            cancelAttempt(pending);
            String detail =
                    "piece "
                            + piece.index()
                            + " is out of order or exceeds the size limit; pieces received: "
                            + pending.mPieces;
            onAttemptFailed(pending, truncatedFault(vm, detail), now);
            return;
        }
        pending.mPieces++;
        if (pending.mWork.streaming()) {
            pending.mPieceForwarded = true;
            mOutputs.onPiece(pending.mWork, piece.data());
        } else {
            pending.mBody.writeBytes(piece.data());
        }
    }

    private void onDone(VmId vm, AttemptMessage.Done done, long now) {
        PendingWork pending = findOpenAttempt(vm, done.id());
        if (pending == null) {
            return;
        }
        if (done.pieces() != pending.mPieces) {
            String detail = pending.mPieces + " pieces received, expected " + done.pieces();
            onAttemptFailed(pending, truncatedFault(vm, detail), now);
            return;
        }
        Answer answer =
                new Answer(
                        done.status(),
                        done.contentType(),
                        pending.mBody.toByteArray(),
                        done.tokens(),
                        done.versions(),
                        vm);
        recordLatency(pending, done.tokens(), now);
        endWork(pending);
        mOutputs.onAnswer(pending.mWork, answer);
    }

    private void onRefused(VmId vm, AttemptMessage.Refused refused, long now) {
        PendingWork pending = findOpenAttempt(vm, refused.id());
        if (pending == null) {
            return;
        }
        closeAttempt(pending);
        pending.mExcludedVms.add(vm);
        if (pending.mWork.isSample()) {
            mWaitingSamples.put(pending.mWork, pending);
            return;
        }
        place(pending, refused.fault(), now);
    }

    private void onSampleFinished(VmId vm, AttemptMessage.SampleFinished finished, long now) {
        PendingWork pending = findOpenAttempt(vm, finished.id());
        if (pending == null) {
            mOutputs.onUntrackedSampleFinished(vm, finished.key(), finished.info());
            return;
        }
        recordLatency(pending, finished.info().tokens(), now);
        endWork(pending);
        mOutputs.onSampleFinished(pending.mWork, vm, finished.info());
    }

    /**
     * Handles a failed attempt that may have run. A sample waits for another attempt until {@value
     * #MAX_SAMPLE_FAILURES} have failed. A call is retried if it is idempotent, no piece of the
     * response has been forwarded and the retry budget of its class allows it.
     */
    private void onAttemptFailed(PendingWork pending, Fault fault, long now) {
        Work work = pending.mWork;
        VmId vm = pending.mVm;
        closeAttempt(pending);
        pending.mMayHaveRun = true;
        if (work.isSample()) {
            pending.mFailures++;
            if (pending.mFailures >= MAX_SAMPLE_FAILURES) {
                fail(pending, fault);
            } else {
                mWaitingSamples.put(work, pending);
            }
            return;
        }
        boolean repeatable = work.idempotent() && !pending.mPieceForwarded;
        if (!repeatable || !retryBudget(work.className()).tryAcquire()) {
            fail(pending, fault);
            return;
        }
        mRetries++;
        mOutputs.onRetry(work);
        if (vm != null) {
            pending.mExcludedVms.add(vm);
        }
        place(pending, fault, now);
    }

    private void recordLatency(PendingWork pending, int tokens, long now) {
        EndpointView view = pending.mVm == null ? null : mEndpoints.get(pending.mVm);
        if (view != null) {
            view.recordLatency(tokens, now - pending.mOfferedAt, now);
        }
    }

    private void place(PendingWork pending, @Nullable Fault lastFault, long now) {
        Work work = pending.mWork;
        while (true) {
            List<EndpointView> candidates = findCandidates(pending, 0, now);
            EndpointView view = mChooser.choose(work, candidates, now).orElse(null);
            if (view == null) {
                fail(pending, lastFault != null ? lastFault : noEndpointFault(work));
                return;
            }
            if (tryOffer(pending, view, 0, now)) {
                return;
            }
            pending.mExcludedVms.add(view.vm());
        }
    }

    private void placeWaitingSamples(long now) {
        if (mWaitingSamples.isEmpty()) {
            return;
        }
        Map<ServiceName, Boolean> fullServices = new HashMap<>();
        for (PendingWork pending : List.copyOf(mWaitingSamples.values())) {
            Work work = pending.mWork;
            if (fullServices.containsKey(work.service())) {
                continue;
            }
            long minVersion = minVersion(work);
            List<EndpointView> candidates = findCandidates(pending, minVersion, now);
            EndpointView view = mChooser.choose(work, candidates, now).orElse(null);
            if (view == null) {
                pending.mExcludedVms.clear();
                fullServices.put(work.service(), Boolean.TRUE);
            } else if (tryOffer(pending, view, minVersion, now)) {
                mWaitingSamples.remove(work);
            }
        }
    }

    private List<EndpointView> findCandidates(PendingWork pending, long minVersion, long now) {
        Work work = pending.mWork;
        List<EndpointView> candidates = new ArrayList<>();
        for (EndpointView view : mEndpoints.values()) {
            boolean eligible =
                    view.isUsable()
                            && view.service().equals(work.service())
                            && !pending.mExcludedVms.contains(view.vm());
            boolean freshEnough = view.load().version() >= minVersion;
            boolean hasCapacity =
                    !work.isSample() || view.sampleRoom(now - work.targetAt() >= 0) > 0;
            if (eligible && freshEnough && hasCapacity) {
                candidates.add(view);
            }
        }
        return candidates;
    }

    private boolean tryOffer(PendingWork pending, EndpointView view, long minVersion, long now) {
        Work work = pending.mWork;
        AttemptId id = new AttemptId(mIncarnation, mAttemptCounter++);
        Job job =
                new Job(
                        work.kind(),
                        work.className(),
                        work.targetQuantile(),
                        Nanos.toMillis(work.targetAt() - now),
                        Nanos.toMillis(work.deadline() - now),
                        work.idempotent(),
                        work.path(),
                        work.contentType(),
                        work.body(),
                        minVersion,
                        work.sample(),
                        work.fence());
        if (!mOutputs.send(view.vm(), new AttemptMessage.Offer(id, job))) {
            return false;
        }
        pending.resetAttempt();
        pending.mAttemptId = id;
        pending.mVm = view.vm();
        pending.mOfferedAt = now;
        mOpenAttempts.put(id, pending);
        view.onSent(work.isSample());
        return true;
    }

    private long minVersion(Work work) {
        SampleKey sample = work.sample();
        return sample == null ? 0 : mMinVersions.getOrDefault(sample.trainer(), 0L);
    }

    private @Nullable PendingWork findOpenAttempt(VmId vm, AttemptId id) {
        PendingWork pending = mOpenAttempts.get(id);
        if (pending == null || !vm.equals(pending.mVm)) {
            mUnknownMessages++;
            return null;
        }
        return pending;
    }

    private void timeOut(PendingWork pending) {
        boolean mayHaveRun = pending.mMayHaveRun || pending.mAttemptId != null;
        cancelAttempt(pending);
        String detail = "the work did not finish before its deadline";
        fail(
                pending,
                mayHaveRun
                        ? Fault.unknown(FaultCode.DEADLINE, "entry.wait", "", detail)
                        : Fault.notRun(FaultCode.DEADLINE, "entry.wait", "", detail));
    }

    private void fail(PendingWork pending, Fault fault) {
        endWork(pending);
        boolean outcomeUnknown = fault.isNotRun() && pending.mMayHaveRun;
        mOutputs.onFault(
                pending.mWork, outcomeUnknown ? fault.withOutcome(Outcome.UNKNOWN) : fault);
    }

    private void cancelAttempt(PendingWork pending) {
        if (pending.mAttemptId != null && pending.mVm != null) {
            mOutputs.send(pending.mVm, new AttemptMessage.CancelAttempt(pending.mAttemptId));
        }
    }

    private void closeAttempt(PendingWork pending) {
        if (pending.mAttemptId != null) {
            mOpenAttempts.remove(pending.mAttemptId);
        }
        pending.resetAttempt();
    }

    private void endWork(PendingWork pending) {
        closeAttempt(pending);
        mWaitingSamples.remove(pending.mWork);
        mPendingWork.remove(pending.mWork.id());
    }

    private RetryBudget retryBudget(ClassName name) {
        return mRetryBudgets.computeIfAbsent(
                name, key -> RetryBudget.create(RETRIES_PER_ATTEMPT, MAX_SAVED_RETRIES));
    }

    private static Fault truncatedFault(VmId vm, String detail) {
        return Fault.unknown(FaultCode.TRUNCATED, "agent.answer", vm.value(), detail);
    }

    private static Fault noEndpointFault(Work work) {
        return Fault.notRun(
                        FaultCode.NO_ENDPOINT,
                        "entry.route",
                        "",
                        "no endpoint of " + work.service() + " accepts new work")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
