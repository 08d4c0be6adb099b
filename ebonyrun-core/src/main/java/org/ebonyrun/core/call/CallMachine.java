package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.RequestKind;
import org.ebonyrun.core.hedge.HedgeDecision;
import org.ebonyrun.core.hedge.HedgeScope;
import org.ebonyrun.core.hedge.HedgeVerdict;
import org.ebonyrun.core.hedge.Hedging;
import org.ebonyrun.core.hedge.NoHedging;
import org.ebonyrun.core.hedge.TargetHedging;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.stream.StreamAdmission;
import org.ebonyrun.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Serves calls: sends each to the endpoint that is expected to answer first, retries and hedges
 * idempotent calls, and refuses calls that no endpoint can answer before their deadline.
 *
 * <p>Interactive calls may share a service with bursts of background calls. Interactive calls are
 * therefore sent first, and background calls leave a part of each endpoint's slots free.
 *
 * <p>Invariants: a non-idempotent call is sent again only if its previous attempt certainly did not
 * run; a call that resumes a stream runs only at the software version that began the stream; each
 * call has exactly one outcome (delivered, refused or failed), or none if its caller abandoned it.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class CallMachine {
    // Fraction of an endpoint's slots that the background calls of one process may use.
    static final double BACKGROUND_SHARE = 0.7;
    private static final long RETRY_NANOS = Nanos.ofMillis(25);
    private static final long REJECTION_BACKOFF_NANOS = Nanos.ofMillis(40);
    private static final long WRONG_INSTANCE_BACKOFF_NANOS = Nanos.ofMillis(1_500);
    // Reserved for a refusal to reach the caller before the caller's deadline.
    private static final long REFUSAL_MARGIN_NANOS = Nanos.ofMillis(15);
    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final Fleet mFleet;
    private final CallOrder mOrder;
    private final CallPlacement mPlacement;
    private final Hedging mHedging;
    private final AttemptTimes mTimes;
    private final CallGuard mGuard;
    private final CallOutputs mOutputs;
    private final Map<Long, PendingCall> mCalls = new LinkedHashMap<>();
    private final Map<Long, PendingCall> mCallsByAttempt = new HashMap<>();
    private long mLastAttempt;

    private CallMachine(
            Fleet fleet,
            CallOrder order,
            CallPlacement placement,
            Hedging hedging,
            CallGuard guard,
            CallOutputs outputs) {
        mFleet = fleet;
        mOrder = order;
        mPlacement = placement;
        mHedging = hedging;
        mTimes = new AttemptTimes(hedging);
        mGuard = guard;
        mOutputs = outputs;
    }

    /** Creates a machine for a process in a failure domain, with the mechanisms of a policy. */
    public static CallMachine create(
            Fleet fleet, FailureDomain domain, Policy policy, CallOutputs outputs) {
        return create(fleet, domain, policy, CallGuard.NONE, outputs);
    }

    /** Creates a machine as above that does not send the calls that a guard blocks. */
    public static CallMachine create(
            Fleet fleet,
            FailureDomain domain,
            Policy policy,
            CallGuard guard,
            CallOutputs outputs) {
        return create(fleet, domain, policy, new TargetHedging(), guard, outputs);
    }

    /** Creates a machine as above with a rule for hedging, if the policy enables hedging. */
    public static CallMachine create(
            Fleet fleet,
            FailureDomain domain,
            Policy policy,
            Hedging hedging,
            CallGuard guard,
            CallOutputs outputs) {
        return new CallMachine(
                fleet,
                new InteractiveFirstCallOrder(),
                placement(domain, policy),
                policy.isEnabled(Mechanism.HEDGED_CALLS) ? hedging : new NoHedging(),
                guard,
                outputs);
    }

    private static CallPlacement placement(FailureDomain domain, Policy policy) {
        double share = policy.isEnabled(Mechanism.BACKGROUND_SHARE) ? BACKGROUND_SHARE : 1;
        if (!policy.isEnabled(Mechanism.CALL_PLACEMENT)) {
            return new RoundRobinCallPlacement(share);
        }
        return policy.isEnabled(Mechanism.OWN_DOMAIN)
                ? LowestLatencyPlacement.preferringDomain(domain, share)
                : LowestLatencyPlacement.ignoringDomains(share);
    }

    /** Creates a machine with a given order and placement, and with hedging. */
    public static CallMachine create(
            Fleet fleet, CallOrder order, CallPlacement placement, CallOutputs outputs) {
        return new CallMachine(
                fleet, order, placement, new TargetHedging(), CallGuard.NONE, outputs);
    }

    /** Returns the number of unfinished calls. */
    public int callCount() {
        return mCalls.size();
    }

    /** Returns the number of unfinished calls of a service. */
    public int callCount(ServiceName service) {
        int count = 0;
        for (PendingCall call : mCalls.values()) {
            if (call.mSpec.service().equals(service)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of attempts whose times are kept. */
    int timedAttemptCount() {
        return mTimes.count();
    }

    /** Accepts a call, and sends it if an endpoint has a free slot. */
    public void onCall(CallSpec spec, long now) {
        PendingCall call = new PendingCall(spec);
        mCalls.put(spec.id(), call);
        advance(call, now);
    }

    /** Cancels a call that its caller abandoned. */
    public void onAbandoned(long id, long now) {
        PendingCall call = mCalls.get(id);
        if (call != null) {
            end(call);
        }
    }

    /**
     * Handles a check of the callers' keys: endpoints that run calls whose keys are withdrawn
     * finish, and no other one starts them.
     *
     * @param ids all calls whose keys are withdrawn now; those of earlier checks may have come back
     */
    public void onKeysWithdrawn(Collection<Long> ids, long now) {
        // None of them may be sent in the place that another one leaves.
        List<PendingCall> withdrawn = new ArrayList<>();
        for (PendingCall call : mCalls.values()) {
            call.mKeyWithdrawn = ids.contains(call.mSpec.id());
            if (call.mKeyWithdrawn) {
                withdrawn.add(call);
            }
        }
        if (withdrawn.isEmpty()) {
            return;
        }
        withdrawn.forEach(call -> advance(call, now));
        sendWaiting(now);
    }

    /**
     * Handles the start of a streamed response. From here on only this attempt can answer the call,
     * and its other attempts are cancelled.
     */
    public void onStreaming(long attempt, long now) {
        PendingCall call = mCallsByAttempt.get(attempt);
        if (call == null) {
            return;
        }
        call.mStreaming = true;
        Endpoint endpoint = call.mOpenAttempts.get(attempt);
        if (endpoint != null) {
            endpoint.onReachable();
            call.mOrigin = StreamOrigin.of(endpoint.record());
        }
        cancelOtherAttempts(call, attempt);
    }

    /** Handles the end of an attempt. */
    public void onAttemptEnd(long attempt, AttemptOutcome outcome, long now) {
        PendingCall call = mCallsByAttempt.remove(attempt);
        if (call == null) {
            return;
        }
        Endpoint endpoint = call.mOpenAttempts.remove(attempt);
        if (endpoint != null) {
            endpoint.onCallEnded();
            if (outcome == AttemptOutcome.ANSWERED) {
                onAnswered(call, attempt, endpoint, now);
            }
            updateHealth(endpoint, outcome, call, now);
        }
        mTimes.onEnded(attempt);
        if (!outcome.mayHaveRun()) {
            call.mPossibleRuns--;
        }
        if (outcome == AttemptOutcome.ANSWERED) {
            mOutputs.deliver(call.mSpec, attempt);
            end(call);
            sendWaiting(now);
            return;
        }
        if (call.mStreaming) {
            onStreamBroken(call, now);
            return;
        }
        if (outcome.isServerError()) {
            call.mServerErrorAttempt = attempt;
        }
        advance(call, now);
        sendWaiting(now);
    }

    private void onAnswered(PendingCall call, long attempt, Endpoint endpoint, long now) {
        call.mAnsweredBy = attempt;
        mHedging.onCallAnswered();
        mTimes.onAnswered(call, attempt, endpoint, now);
    }

    /** Lets another endpoint go on with a stream that broke off, or fails the call. */
    private void onStreamBroken(PendingCall call, long now) {
        boolean goesOn =
                call.mSpec.route().mayRepeat() && mayRunAgain(call) && mOutputs.canGoOn(call.mSpec);
        if (goesOn) {
            call.mStreaming = false;
            call.mGoingOn = true;
            call.mGoOnBy = now + Nanos.ofMillis(call.mSpec.route().call().targetLatencyMillis());
            advance(call, now);
        } else {
            mOutputs.fail(call.mSpec, false, "response stream ended early");
            end(call);
        }
        sendWaiting(now);
    }

    private void updateHealth(
            Endpoint endpoint, AttemptOutcome outcome, PendingCall call, long now) {
        switch (outcome) {
            case ANSWERED, FAILED, SERVER_ERROR, UNUSABLE -> endpoint.onReachable();
            case NOT_RUN -> {
                call.mRejectedBy.add(endpoint.id());
                mHedging.onRejected(call.mSpec.service(), now);
                endpoint.avoidFor(REJECTION_BACKOFF_NANOS, now);
            }
            case WRONG_INSTANCE -> endpoint.avoidFor(WRONG_INSTANCE_BACKOFF_NANOS, now);
            case UNREACHABLE -> endpoint.onFailure(now);
            case LOST -> {
                call.mLostAttempt = true;
                endpoint.onFailure(now);
            }
            default -> throw new IllegalStateException("unexpected attempt outcome: " + outcome);
        }
    }

    /** Sends waiting calls, hedges slow ones, and ends those whose deadline is near. */
    public void onTick(long now) {
        sendWaiting(now);
        ServiceUses uses = new ServiceUses(mFleet, mCalls.values());
        for (PendingCall call : List.copyOf(mCalls.values())) {
            if (now - call.mSpec.deadline() + REFUSAL_MARGIN_NANOS >= 0) {
                expire(call, now);
            } else {
                tryHedge(call, uses, now);
            }
        }
    }

    private void tryHedge(PendingCall call, ServiceUses uses, long now) {
        if (call.mOpenAttempts.size() != 1 || call.mStreaming || call.mSpec.route().isStream()) {
            return;
        }
        HedgeDecision decision = mHedging.decide(new OpenCallView(call, mGuard, uses), now);
        call.mHedgeDelayNanos = decision.delay().nanos();
        long open = now - call.mSentAt;
        for (HedgeScope scope : decision.scopes()) {
            if (trySend(call, scope, now)) {
                uses.discard(call.mSpec.service());
                call.mHedgeAttempt = mLastAttempt;
                mHedging.onHedgeSent();
                reportHedge(call, decision, open);
                return;
            }
        }
        reportHedge(
                call,
                decision.verdict() == HedgeVerdict.SEND ? decision.withoutEndpoint() : decision,
                open);
    }

    /** Reports each verdict on a call once. */
    private void reportHedge(PendingCall call, HedgeDecision decision, long openNanos) {
        HedgeVerdict verdict = decision.verdict();
        if (verdict != HedgeVerdict.NOT_YET && call.mHedgeVerdicts.add(verdict)) {
            mOutputs.onHedgeDecided(call.mSpec, decision, openNanos);
        }
    }

    private void sendWaiting(long now) {
        List<PendingCall> waiting = new ArrayList<>();
        for (PendingCall call : mCalls.values()) {
            if (call.mOpenAttempts.isEmpty() && now - call.mRetryAt >= 0) {
                waiting.add(call);
            }
        }
        waiting.sort(Comparator.comparing(call -> call.mSpec, mOrder));
        for (PendingCall call : waiting) {
            advance(call, now);
        }
    }

    /** Sends a call that has no open attempt, or lets it wait, or ends it. */
    private void advance(PendingCall call, long now) {
        if (!call.mOpenAttempts.isEmpty() || !mCalls.containsKey(call.mSpec.id())) {
            return;
        }
        if (call.mKeyWithdrawn && call.mPossibleRuns == 0 && !call.mGoingOn) {
            mOutputs.refuseKey(call.mSpec);
            end(call);
            return;
        }
        boolean tooLate = call.mGoingOn && now - call.mGoOnBy >= 0;
        if (tooLate || !mayRunAgain(call)) {
            endWithoutRetry(call);
            return;
        }
        CallAdmission admission = mGuard.admission(call.mSpec);
        if (admission == CallAdmission.BLOCKED) {
            endBlocked(call);
        }
        if (admission != CallAdmission.ADMITTED) {
            return;
        }
        if (trySend(call, null, now)) {
            return;
        }
        call.mRejectedBy.clear();
        call.mRetryAt = now + RETRY_NANOS;
        if (!call.mSpec.background() && wouldMissDeadline(call, now)) {
            refuseOrFail(call, now);
        }
    }

    private boolean mayRunAgain(PendingCall call) {
        return call.mayRunAgain(mGuard);
    }

    private void endBlocked(PendingCall call) {
        if (call.mPossibleRuns > 0) {
            endWithoutRetry(call);
            return;
        }
        long retryAfter = mGuard.retryAfterMillis(call.mSpec);
        mOutputs.refuse(call.mSpec, retryAfter, "the call has crashed too many endpoints");
        end(call);
    }

    private void endWithoutRetry(PendingCall call) {
        if (call.mServerErrorAttempt != null && !call.mGoingOn) {
            mOutputs.deliver(call.mSpec, call.mServerErrorAttempt);
        } else {
            mOutputs.fail(call.mSpec, false, "call may have run and cannot be retried");
        }
        end(call);
    }

    private boolean wouldMissDeadline(PendingCall call, long now) {
        List<Endpoint> serving = allowed(call, now);
        if (serving.isEmpty()) {
            return true;
        }
        Optional<LimitedCapacity> limited = LimitedCapacity.of(serving, now);
        if (limited.isPresent()) {
            long wait = limited.get().waitNanos(waitingBefore(call));
            return wait == Long.MAX_VALUE || now + wait - call.mSpec.deadline() >= 0;
        }
        int slots = 0;
        double totalLatencyNanos = 0;
        for (Endpoint endpoint : serving) {
            slots += endpoint.record().slots();
            totalLatencyNanos += LowestLatencyPlacement.expectedLatencyNanos(endpoint);
        }
        long waiting =
                mCalls.values().stream().filter(other -> other.mOpenAttempts.isEmpty()).count();
        double waitNanos = totalLatencyNanos / serving.size() * (1 + (double) waiting / slots);
        return now + (long) waitNanos - call.mSpec.deadline() >= 0;
    }

    /**
     * Returns the serving endpoints at which a call may run: for a resumed stream, those that can
     * go on with it; for a new one, those whose software version can be announced.
     */
    private List<Endpoint> allowed(PendingCall call, long now) {
        List<Endpoint> serving = mFleet.serving(call.mSpec.service());
        StreamOrigin origin = call.mOrigin;
        if (origin != null) {
            serving.removeIf(endpoint -> !origin.includes(endpoint.record()));
        } else if (beginsStream(call)) {
            serving.removeIf(
                    endpoint -> mGuard.admit(call.mSpec, endpoint, now) == StreamAdmission.DENIED);
        }
        return serving;
    }

    private static boolean beginsStream(PendingCall call) {
        return call.mOrigin == null && call.mSpec.beginsResumableStream();
    }

    private boolean isBeginPending(PendingCall call, Endpoint endpoint, long now) {
        return beginsStream(call)
                && mGuard.admit(call.mSpec, endpoint, now) == StreamAdmission.PENDING;
    }

    /** Returns how many calls of the same service wait and go before a call. */
    private int waitingBefore(PendingCall call) {
        int count = 0;
        for (PendingCall other : mCalls.values()) {
            boolean waits = other != call && other.mOpenAttempts.isEmpty();
            boolean sameService = other.mSpec.service().equals(call.mSpec.service());
            if (waits && sameService && mOrder.compare(other.mSpec, call.mSpec) < 0) {
                count++;
            }
        }
        return count;
    }

    private void refuseOrFail(PendingCall call, long now) {
        if (call.mPossibleRuns > 0 || call.mGoingOn) {
            endWithoutRetry(call);
            return;
        }
        Optional<Long> limited = limitedRetryAfterMillis(call, now);
        if (limited.isPresent()) {
            mOutputs.refuse(
                    call.mSpec,
                    limited.get(),
                    "the limits of the endpoints admit no call before the deadline");
            end(call);
            return;
        }
        long thirdOfTimeLeft = Nanos.toMillis(Math.max(0, call.mSpec.deadline() - now)) / 3;
        long retryAfter =
                Math.max(
                        MIN_RETRY_AFTER_MILLIS,
                        Math.min(MAX_RETRY_AFTER_MILLIS, thirdOfTimeLeft / 2));
        boolean gone = call.mOrigin != null && allowed(call, now).isEmpty();
        String reason =
                gone
                        ? "no endpoint serves the software version that began the stream"
                        : "no endpoint is expected to answer before the deadline";
        mOutputs.refuse(call.mSpec, retryAfter, reason);
        end(call);
    }

    private void expire(PendingCall call, long now) {
        boolean hasError = call.mServerErrorAttempt != null && !call.mGoingOn;
        if (hasError && call.mOpenAttempts.isEmpty()) {
            mOutputs.deliver(call.mSpec, call.mServerErrorAttempt);
        } else if (call.mPossibleRuns > 0 || !call.mOpenAttempts.isEmpty()) {
            mTimes.recordOpen(call, now);
            mOutputs.fail(call.mSpec, true, "no response before the deadline");
        } else {
            mOutputs.refuse(
                    call.mSpec,
                    limitedRetryAfterMillis(call, now).orElse(MIN_RETRY_AFTER_MILLIS),
                    "no endpoint had a free slot before the deadline");
        }
        end(call);
    }

    /** Returns when a refused call finds room; empty unless all endpoints limit their requests. */
    private Optional<Long> limitedRetryAfterMillis(PendingCall call, long now) {
        return LimitedCapacity.of(allowed(call, now), now)
                .map(limited -> limited.retryAfterMillis(waitingBefore(call)))
                .map(millis -> Math.max(MIN_RETRY_AFTER_MILLIS, millis));
    }

    private boolean trySend(PendingCall call, @Nullable HedgeScope scope, long now) {
        Endpoint endpoint = chooseEndpoint(call, scope, now);
        if (endpoint == null) {
            return false;
        }
        long attempt = ++mLastAttempt;
        call.mOpenAttempts.put(attempt, endpoint);
        call.mTriedEndpoints.add(endpoint.id());
        call.mPossibleRuns++;
        call.mSentAt = now;
        mTimes.onSent(attempt, now);
        mCallsByAttempt.put(attempt, call);
        endpoint.onCallSent(now);
        mPlacement.onSent(endpoint);
        long leftMillis = Math.max(1, Nanos.toMillis(call.mSpec.deadline() - now));
        mOutputs.send(call.mSpec, attempt, endpoint, leftMillis);
        return true;
    }

    /**
     * Returns the endpoint of least cost that may get the call now, or null if there is none.
     *
     * @param scope which endpoints may get a hedged attempt; null for any other attempt
     */
    private @Nullable Endpoint chooseEndpoint(
            PendingCall call, @Nullable HedgeScope scope, long now) {
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        List<Endpoint> notAdmitted = new ArrayList<>();
        for (Endpoint endpoint : allowed(call, now)) {
            if (!hasFreeSlot(endpoint, call) || call.mRejectedBy.contains(endpoint.id())) {
                continue;
            }
            if (isBeginPending(call, endpoint, now)) {
                continue;
            }
            if (endpoint.isAvoided(now) && call.mTriedEndpoints.contains(endpoint.id())) {
                continue;
            }
            if (scope != null && !call.isInScope(endpoint, scope, now)) {
                continue;
            }
            if (!endpoint.admits(RequestKind.WORK, now)) {
                notAdmitted.add(endpoint);
                continue;
            }
            boolean tried = call.mTriedEndpoints.contains(endpoint.id());
            double cost = mPlacement.cost(endpoint, tried, now);
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        if (best == null) {
            notAdmitted.forEach(endpoint -> endpoint.onWaiting(RequestKind.WORK, now));
        }
        return best;
    }

    private boolean hasFreeSlot(Endpoint endpoint, PendingCall call) {
        int limit = mPlacement.concurrencyLimit(endpoint, call.mSpec.background());
        // A stream goes before training at the endpoint, so training runs take no slot from it.
        boolean goesFirst = call.mSpec.endpointPriority().isPresent();
        int active = goesFirst ? endpoint.activeCalls() : endpoint.activeRequests();
        return active < limit && !call.mOpenAttempts.containsValue(endpoint);
    }

    private void cancelOtherAttempts(PendingCall call, long streamingAttempt) {
        for (Long attempt : List.copyOf(call.mOpenAttempts.keySet())) {
            if (attempt != streamingAttempt) {
                close(call, attempt);
            }
        }
    }

    private void end(PendingCall call) {
        mCalls.remove(call.mSpec.id());
        if (call.mHedgeAttempt != null) {
            boolean won = call.mHedgeAttempt.equals(call.mAnsweredBy);
            mOutputs.onHedgeEnded(call.mSpec, won);
        }
        for (Long attempt : List.copyOf(call.mOpenAttempts.keySet())) {
            close(call, attempt);
        }
    }

    private void close(PendingCall call, long attempt) {
        Endpoint endpoint = call.mOpenAttempts.remove(attempt);
        mCallsByAttempt.remove(attempt);
        mTimes.onEnded(attempt);
        if (endpoint != null) {
            endpoint.onCallEnded();
        }
        mOutputs.cancel(attempt);
    }
}
