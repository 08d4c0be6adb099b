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
 * Sends work to endpoints and decides what follows from each answer.
 *
 * <p>Invariants: work has at most one open attempt; non-idempotent work is never sent again once an
 * attempt may have run; a call ends in exactly one of {@code answered} and {@code failed}; an
 * answer is whole, its pieces counted against the end mark; messages of closed or foreign attempts
 * are counted and dropped.
 *
 * <p>Not thread safe; confined to the dispatch duty.
 */
public final class Dispatcher implements Ticking {
    private static final double RETRIES_PER_ATTEMPT = 0.1;
    private static final double MAX_SAVED_RETRIES = 20;
    private static final long RETRY_MILLIS = 100;
    private static final int MAX_SAMPLE_FAILURES = 4;
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final long mIncarnation;
    private final EndpointChooser mChooser;
    private final DispatchOutputs mOutputs;
    private final Map<VmId, EndpointView> mEndpoints = new TreeMap<>();
    private final Map<AttemptId, PendingWork> mAttempts = new HashMap<>();
    private final Map<Long, PendingWork> mWorks = new HashMap<>();
    private final TreeMap<Work, PendingWork> mWaitingSamples =
            new TreeMap<>(Comparator.comparingLong(Work::targetAt).thenComparingLong(Work::id));
    private final Map<ClassName, RetryBudget> mBudgets = new HashMap<>();
    private final Map<TrainerId, Long> mMinVersions = new HashMap<>();
    private long mCounter;
    private long mUnknownMessages;
    private long mRetries;

    private Dispatcher(long incarnation, EndpointChooser chooser, DispatchOutputs outputs) {
        mIncarnation = incarnation;
        mChooser = chooser;
        mOutputs = outputs;
    }

    /**
     * Creates a dispatcher that knows no endpoints.
     *
     * @param incarnation a random number that this start of the process drew
     */
    public static Dispatcher create(
            long incarnation, EndpointChooser chooser, DispatchOutputs outputs) {
        return new Dispatcher(incarnation, chooser, outputs);
    }

    /** Begins a piece of work. */
    public void submit(Work work, long now) {
        PendingWork dispatched = new PendingWork(work);
        mWorks.put(work.id(), dispatched);
        if (work.isSample()) {
            mWaitingSamples.put(work, dispatched);
            pumpSamples(now);
            return;
        }
        budget(work.className()).onFirstAttempt();
        place(dispatched, null, now);
    }

    /** Forgets a piece of work, whose attempt another owner takes over. */
    public void detach(long workId) {
        PendingWork dispatched = mWorks.get(workId);
        if (dispatched != null) {
            end(dispatched);
        }
    }

    /** Gives a piece of work up without an answer. */
    public void cancel(long workId) {
        PendingWork dispatched = mWorks.get(workId);
        if (dispatched == null) {
            return;
        }
        cancelAttempt(dispatched);
        end(dispatched);
    }

    /** Sets the oldest version that may produce samples for a trainer. */
    public void setMinVersion(TrainerId trainer, long version, long now) {
        mMinVersions.put(trainer, version);
        pumpSamples(now);
    }

    /** Takes note that an endpoint may or may not get new work. */
    public void setEndpointUsable(
            VmId vm, ServiceName service, FailureDomain domain, boolean usable, long now) {
        EndpointView view =
                mEndpoints.computeIfAbsent(vm, key -> EndpointView.create(vm, service, domain));
        view.setUsable(usable);
        pumpSamples(now);
    }

    /** Takes note that the link to an endpoint is lost: its open attempts may have run. */
    public void onLinkLost(VmId vm, long now) {
        mEndpoints.remove(vm);
        List<PendingWork> lost = new ArrayList<>();
        for (PendingWork dispatched : mAttempts.values()) {
            if (vm.equals(dispatched.mVm)) {
                lost.add(dispatched);
            }
        }
        for (PendingWork dispatched : lost) {
            Fault fault =
                    Fault.unknown(
                            FaultCode.PEER_LOST, "agent.link", vm.value(), "the link was lost");
            onAttemptFailed(dispatched, fault, now);
        }
    }

    /** Handles a message of an agent. */
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
            PendingWork dispatched = open(vm, failed.id());
            if (dispatched != null) {
                onAttemptFailed(dispatched, failed.fault(), now);
            }
        } else if (message instanceof AttemptMessage.SampleFinished finished) {
            onLoad(vm, finished.load());
            onSampleFinished(vm, finished, now);
        } else if (message instanceof AttemptMessage.LoadReport report) {
            onLoad(vm, report.load());
        } else {
            mUnknownMessages++;
        }
        pumpSamples(now);
    }

    /** Takes note of a load that came with a heartbeat. */
    public void onHeartbeat(VmId vm, EndpointLoad load, long now) {
        onLoad(vm, load);
        pumpSamples(now);
    }

    @Override
    public void onTick(long now) {
        for (PendingWork dispatched : List.copyOf(mWorks.values())) {
            if (now - dispatched.mWork.deadline() >= 0) {
                timeOut(dispatched);
            }
        }
        pumpSamples(now);
    }

    /** Returns the endpoints that the entry knows. */
    public List<EndpointView> endpoints() {
        return List.copyOf(mEndpoints.values());
    }

    /** Returns the state for a dump. */
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
                mWorks.size(),
                mAttempts.size(),
                mWaitingSamples.size(),
                mRetries,
                mUnknownMessages,
                endpoints);
    }

    /**
     * The state of the dispatcher for people.
     *
     * @param works open pieces of work
     * @param attempts open attempts
     * @param waitingSamples samples that wait for room
     * @param retries attempts that were not first attempts
     * @param unknownMessages messages that were dropped
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
     * The state of one endpoint for people.
     *
     * @param vm the endpoint
     * @param service its service
     * @param usable whether it may get new work
     * @param free how many calls would start at once
     * @param load its newest report
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
        PendingWork dispatched = open(vm, piece.id());
        if (dispatched == null) {
            return;
        }
        boolean tooLarge = dispatched.mBody.size() + piece.data().length > MAX_ANSWER_BYTES;
        if (piece.index() != dispatched.mPieces || tooLarge) {
            cancelAttempt(dispatched);
            String detail = "piece " + piece.index() + " after " + dispatched.mPieces;
            onAttemptFailed(dispatched, truncated(vm, detail), now);
            return;
        }
        dispatched.mPieces++;
        if (dispatched.mWork.streaming()) {
            dispatched.mPieceForwarded = true;
            mOutputs.onPiece(dispatched.mWork, piece.data());
        } else {
            dispatched.mBody.writeBytes(piece.data());
        }
    }

    private void onDone(VmId vm, AttemptMessage.Done done, long now) {
        PendingWork dispatched = open(vm, done.id());
        if (dispatched == null) {
            return;
        }
        if (done.pieces() != dispatched.mPieces) {
            String detail = dispatched.mPieces + " pieces of " + done.pieces();
            onAttemptFailed(dispatched, truncated(vm, detail), now);
            return;
        }
        Answer answer =
                new Answer(
                        done.status(),
                        done.contentType(),
                        dispatched.mBody.toByteArray(),
                        done.tokens(),
                        done.versions(),
                        vm);
        measure(dispatched, done.tokens(), now);
        end(dispatched);
        mOutputs.onAnswer(dispatched.mWork, answer);
    }

    private void onRefused(VmId vm, AttemptMessage.Refused refused, long now) {
        PendingWork dispatched = open(vm, refused.id());
        if (dispatched == null) {
            return;
        }
        closeAttempt(dispatched);
        dispatched.mExcludedVms.add(vm);
        if (dispatched.mWork.isSample()) {
            mWaitingSamples.put(dispatched.mWork, dispatched);
            return;
        }
        place(dispatched, refused.fault(), now);
    }

    private void onSampleFinished(VmId vm, AttemptMessage.SampleFinished finished, long now) {
        PendingWork dispatched = open(vm, finished.id());
        if (dispatched == null) {
            mOutputs.onUntrackedSampleFinished(vm, finished.key(), finished.info());
            return;
        }
        measure(dispatched, finished.info().tokens(), now);
        end(dispatched);
        mOutputs.onSampleFinished(dispatched.mWork, vm, finished.info());
    }

    /** Decides whether work whose attempt failed, and may have run, is tried again. */
    private void onAttemptFailed(PendingWork dispatched, Fault fault, long now) {
        Work work = dispatched.mWork;
        VmId vm = dispatched.mVm;
        closeAttempt(dispatched);
        dispatched.mMayHaveRun = true;
        if (work.isSample()) {
            dispatched.mFailures++;
            if (dispatched.mFailures >= MAX_SAMPLE_FAILURES) {
                fail(dispatched, fault);
            } else {
                mWaitingSamples.put(work, dispatched);
            }
            return;
        }
        boolean repeatable = work.idempotent() && !dispatched.mPieceForwarded;
        if (!repeatable || !budget(work.className()).tryAcquire()) {
            fail(dispatched, fault);
            return;
        }
        mRetries++;
        mOutputs.onRetry(work);
        if (vm != null) {
            dispatched.mExcludedVms.add(vm);
        }
        place(dispatched, fault, now);
    }

    private void measure(PendingWork dispatched, int tokens, long now) {
        EndpointView view = dispatched.mVm == null ? null : mEndpoints.get(dispatched.mVm);
        if (view != null) {
            view.recordLatency(tokens, now - dispatched.mOfferedAt, now);
        }
    }

    private void place(PendingWork dispatched, @Nullable Fault last, long now) {
        Work work = dispatched.mWork;
        while (true) {
            List<EndpointView> candidates = candidates(dispatched, 0, now);
            EndpointView view = mChooser.choose(work, candidates, now).orElse(null);
            if (view == null) {
                fail(dispatched, last != null ? last : noEndpoint(work));
                return;
            }
            if (offer(dispatched, view, 0, now)) {
                return;
            }
            dispatched.mExcludedVms.add(view.vm());
        }
    }

    private void pumpSamples(long now) {
        if (mWaitingSamples.isEmpty()) {
            return;
        }
        Map<ServiceName, Boolean> full = new HashMap<>();
        for (PendingWork dispatched : List.copyOf(mWaitingSamples.values())) {
            Work work = dispatched.mWork;
            if (full.containsKey(work.service())) {
                continue;
            }
            long minVersion = minVersion(work);
            List<EndpointView> candidates = candidates(dispatched, minVersion, now);
            EndpointView view = mChooser.choose(work, candidates, now).orElse(null);
            if (view == null) {
                dispatched.mExcludedVms.clear();
                full.put(work.service(), Boolean.TRUE);
            } else if (offer(dispatched, view, minVersion, now)) {
                mWaitingSamples.remove(work);
            }
        }
    }

    private List<EndpointView> candidates(PendingWork dispatched, long minVersion, long now) {
        Work work = dispatched.mWork;
        List<EndpointView> candidates = new ArrayList<>();
        for (EndpointView view : mEndpoints.values()) {
            boolean fits =
                    view.isUsable()
                            && view.service().equals(work.service())
                            && !dispatched.mExcludedVms.contains(view.vm());
            boolean fresh = view.load().version() >= minVersion;
            boolean room = !work.isSample() || view.sampleRoom(now - work.targetAt() >= 0) > 0;
            if (fits && fresh && room) {
                candidates.add(view);
            }
        }
        return candidates;
    }

    private boolean offer(PendingWork dispatched, EndpointView view, long minVersion, long now) {
        Work work = dispatched.mWork;
        AttemptId id = new AttemptId(mIncarnation, mCounter++);
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
        dispatched.resetAttempt();
        dispatched.mAttemptId = id;
        dispatched.mVm = view.vm();
        dispatched.mOfferedAt = now;
        mAttempts.put(id, dispatched);
        view.onSent(work.isSample());
        return true;
    }

    private long minVersion(Work work) {
        SampleKey sample = work.sample();
        return sample == null ? 0 : mMinVersions.getOrDefault(sample.trainer(), 0L);
    }

    private @Nullable PendingWork open(VmId vm, AttemptId id) {
        PendingWork dispatched = mAttempts.get(id);
        if (dispatched == null || !vm.equals(dispatched.mVm)) {
            mUnknownMessages++;
            return null;
        }
        return dispatched;
    }

    private void timeOut(PendingWork dispatched) {
        boolean mayHaveRun = dispatched.mMayHaveRun || dispatched.mAttemptId != null;
        cancelAttempt(dispatched);
        String detail = "the work was not done in time";
        fail(
                dispatched,
                mayHaveRun
                        ? Fault.unknown(FaultCode.DEADLINE, "entry.wait", "", detail)
                        : Fault.notRun(FaultCode.DEADLINE, "entry.wait", "", detail));
    }

    private void fail(PendingWork dispatched, Fault fault) {
        end(dispatched);
        boolean claimsNotRun = fault.isNotRun() && dispatched.mMayHaveRun;
        mOutputs.onFault(
                dispatched.mWork, claimsNotRun ? fault.withOutcome(Outcome.UNKNOWN) : fault);
    }

    private void cancelAttempt(PendingWork dispatched) {
        if (dispatched.mAttemptId != null && dispatched.mVm != null) {
            mOutputs.send(dispatched.mVm, new AttemptMessage.CancelAttempt(dispatched.mAttemptId));
        }
    }

    private void closeAttempt(PendingWork dispatched) {
        if (dispatched.mAttemptId != null) {
            mAttempts.remove(dispatched.mAttemptId);
        }
        dispatched.resetAttempt();
    }

    private void end(PendingWork dispatched) {
        closeAttempt(dispatched);
        mWaitingSamples.remove(dispatched.mWork);
        mWorks.remove(dispatched.mWork.id());
    }

    private RetryBudget budget(ClassName name) {
        return mBudgets.computeIfAbsent(
                name, key -> RetryBudget.create(RETRIES_PER_ATTEMPT, MAX_SAVED_RETRIES));
    }

    private static Fault truncated(VmId vm, String detail) {
        return Fault.unknown(FaultCode.TRUNCATED, "agent.answer", vm.value(), detail);
    }

    private static Fault noEndpoint(Work work) {
        return Fault.notRun(
                        FaultCode.NO_ENDPOINT,
                        "entry.route",
                        "",
                        "no endpoint of " + work.service() + " takes new work")
                .withRetryAfterMillis(RETRY_MILLIS);
    }
}
