package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.jspecify.annotations.Nullable;

/**
 * Serves calls: sends each to the endpoint that will answer it first, repeats what may be repeated,
 * and refuses what no endpoint can take in time.
 *
 * <p>Answers the load of short calls that share a service with background calls: people's calls go
 * before background calls, which leave a part of each endpoint's slots free.
 *
 * <p>Invariants: a call that may not be repeated is sent again only after its endpoint stated that
 * it did not run; each call gets exactly one end, unless its caller abandoned it.
 *
 * <p>Not thread safe; confined to one duty.
 */
public final class CallMachine {
    // A second endpoint is tried when the first has used this part of the goal.
    private static final double HEDGE_SHARE = 0.5;
    // Part of an endpoint's slots that background calls of one process may use.
    static final double BACKGROUND_SHARE = 0.7;
    private static final long RETRY_NANOS = Nanos.ofMillis(25);
    private static final long FULL_NANOS = Nanos.ofMillis(40);
    private static final long WRONG_INSTANCE_NANOS = Nanos.ofMillis(1_500);
    // Time kept to bring a refusal back to the caller before its deadline.
    private static final long ANSWER_MARGIN_NANOS = Nanos.ofMillis(15);
    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final Fleet mFleet;
    private final CallOrder mOrder;
    private final CallPlacement mPlacement;
    private final boolean mHedges;
    private final CallOutputs mOutputs;
    private final Map<Long, PendingCall> mCalls = new LinkedHashMap<>();
    private final Map<Long, PendingCall> mByAttempt = new HashMap<>();
    private long mAttempts;

    private CallMachine(
            Fleet fleet,
            CallOrder order,
            CallPlacement placement,
            boolean hedges,
            CallOutputs outputs) {
        mFleet = fleet;
        mOrder = order;
        mPlacement = placement;
        mHedges = hedges;
        mOutputs = outputs;
    }

    /** Creates a machine without calls, in a failure domain. */
    public static CallMachine create(
            Fleet fleet, FailureDomain domain, Policy policy, CallOutputs outputs) {
        return new CallMachine(
                fleet,
                new InteractiveFirstCallOrder(),
                placement(domain, policy),
                policy.isEnabled(Mechanism.HEDGED_CALLS),
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

    /** Creates a machine without calls that decides by a given order and placement. */
    public static CallMachine create(
            Fleet fleet, CallOrder order, CallPlacement placement, CallOutputs outputs) {
        return new CallMachine(fleet, order, placement, true, outputs);
    }

    /** Returns the number of calls that are not answered yet. */
    public int size() {
        return mCalls.size();
    }

    /** Takes a call. */
    public void onCall(CallSpec spec, long now) {
        PendingCall call = new PendingCall(spec);
        mCalls.put(spec.id(), call);
        advance(call, now);
    }

    /** Ends a call whose caller left. */
    public void onAbandoned(long id, long now) {
        PendingCall call = mCalls.get(id);
        if (call != null) {
            end(call);
        }
    }

    /** Notes that a stream began to arrive; from here on only this attempt can answer the call. */
    public void onStreaming(long attempt, long now) {
        PendingCall call = mByAttempt.get(attempt);
        if (call == null) {
            return;
        }
        call.mStreaming = true;
        Endpoint endpoint = call.mOpenAttempts.get(attempt);
        if (endpoint != null) {
            endpoint.onReachable();
        }
        cancelOthers(call, attempt);
    }

    /** Notes the end of an attempt. */
    public void onAttemptEnd(long attempt, AttemptOutcome end, long now) {
        PendingCall call = mByAttempt.remove(attempt);
        if (call == null) {
            return;
        }
        Endpoint endpoint = call.mOpenAttempts.remove(attempt);
        if (endpoint != null) {
            endpoint.onEnded();
            judge(endpoint, end, call, now);
        }
        boolean ran = end == AttemptOutcome.ANSWERED || end == AttemptOutcome.SERVER_ERROR;
        if (!ran && end != AttemptOutcome.LOST) {
            call.mPossibleRuns--;
        }
        if (end == AttemptOutcome.ANSWERED || call.mStreaming) {
            if (call.mStreaming && end != AttemptOutcome.ANSWERED) {
                mOutputs.fail(call.mSpec, false, "stream broke off");
            } else {
                mOutputs.deliver(call.mSpec, attempt);
            }
            end(call);
            drainQueue(now);
            return;
        }
        if (end == AttemptOutcome.SERVER_ERROR) {
            call.mServerErrorAttempt = attempt;
        }
        advance(call, now);
        drainQueue(now);
    }

    private void judge(Endpoint endpoint, AttemptOutcome end, PendingCall call, long now) {
        switch (end) {
            case ANSWERED -> {
                endpoint.onReachable();
                endpoint.recordLatency(now - call.mSentAt, now);
            }
            case SERVER_ERROR -> endpoint.onReachable();
            case NOT_RUN -> {
                call.mRejectedBy.add(endpoint.id());
                endpoint.avoidFor(FULL_NANOS, now);
            }
            case WRONG_INSTANCE -> endpoint.avoidFor(WRONG_INSTANCE_NANOS, now);
            case UNREACHABLE, LOST -> endpoint.onFailure(now);
            default -> throw new IllegalStateException("attempt ended with " + end);
        }
    }

    /** Repeats, hedges and ends calls whose time has come. */
    public void onTick(long now) {
        drainQueue(now);
        for (PendingCall call : List.copyOf(mCalls.values())) {
            if (now - call.mSpec.deadline() + ANSWER_MARGIN_NANOS >= 0) {
                expire(call);
            } else if (isHedgeDue(call, now)) {
                trySend(call, now);
            }
        }
    }

    private boolean isHedgeDue(PendingCall call, long now) {
        if (!mHedges || call.mOpenAttempts.size() != 1 || call.mStreaming || !call.mayRunAgain()) {
            return false;
        }
        long goal = Nanos.ofMillis(call.mSpec.route().call().targetLatencyMillis());
        return now - call.mSentAt >= (long) (HEDGE_SHARE * goal);
    }

    private void drainQueue(long now) {
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

    /** Sends a call that has no open attempt, or decides that it must wait or end. */
    private void advance(PendingCall call, long now) {
        if (!call.mOpenAttempts.isEmpty() || !mCalls.containsKey(call.mSpec.id())) {
            return;
        }
        if (!call.mayRunAgain()) {
            giveUp(call);
            return;
        }
        if (trySend(call, now)) {
            return;
        }
        call.mRejectedBy.clear();
        call.mRetryAt = now + RETRY_NANOS;
        if (!call.mSpec.background() && isHopeless(call, now)) {
            refuseOrFail(call, now);
        }
    }

    private void giveUp(PendingCall call) {
        if (call.mServerErrorAttempt != null) {
            mOutputs.deliver(call.mSpec, call.mServerErrorAttempt);
        } else {
            mOutputs.fail(call.mSpec, false, "no attempt is left");
        }
        end(call);
    }

    private boolean isHopeless(PendingCall call, long now) {
        List<Endpoint> serving = mFleet.serving(call.mSpec.service());
        if (serving.isEmpty()) {
            return true;
        }
        int slots = 0;
        double pace = 0;
        for (Endpoint endpoint : serving) {
            slots += endpoint.record().slots();
            pace += LowestLatencyPlacement.expectedLatencyNanos(endpoint);
        }
        long ahead =
                mCalls.values().stream().filter(other -> other.mOpenAttempts.isEmpty()).count();
        double waitNanos = pace / serving.size() * (1 + (double) ahead / slots);
        return now + (long) waitNanos - call.mSpec.deadline() >= 0;
    }

    private void refuseOrFail(PendingCall call, long now) {
        if (call.mPossibleRuns > 0) {
            giveUp(call);
            return;
        }
        long third = Nanos.toMillis(Math.max(0, call.mSpec.deadline() - now)) / 3;
        long after = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, third / 2));
        mOutputs.refuse(call.mSpec, after, "no endpoint can answer in time");
        end(call);
    }

    private void expire(PendingCall call) {
        if (call.mServerErrorAttempt != null && call.mOpenAttempts.isEmpty()) {
            mOutputs.deliver(call.mSpec, call.mServerErrorAttempt);
        } else if (call.mPossibleRuns > 0 || !call.mOpenAttempts.isEmpty()) {
            mOutputs.fail(call.mSpec, true, "no answer in time");
        } else {
            mOutputs.refuse(call.mSpec, MIN_RETRY_AFTER_MILLIS, "no endpoint had room in time");
        }
        end(call);
    }

    private boolean trySend(PendingCall call, long now) {
        Endpoint endpoint = choose(call, now);
        if (endpoint == null) {
            return false;
        }
        long attempt = ++mAttempts;
        call.mOpenAttempts.put(attempt, endpoint);
        call.mTriedEndpoints.add(endpoint.id());
        call.mPossibleRuns++;
        call.mSentAt = now;
        mByAttempt.put(attempt, call);
        endpoint.onSent();
        mPlacement.onSent(endpoint);
        long left = Math.max(1, Nanos.toMillis(call.mSpec.deadline() - now));
        mOutputs.send(call.mSpec, attempt, endpoint, left);
        return true;
    }

    private @Nullable Endpoint choose(PendingCall call, long now) {
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (Endpoint endpoint : mFleet.serving(call.mSpec.service())) {
            if (!hasRoom(endpoint, call) || call.mRejectedBy.contains(endpoint.id())) {
                continue;
            }
            if (endpoint.isAvoided(now) && call.mTriedEndpoints.contains(endpoint.id())) {
                continue;
            }
            boolean tried = call.mTriedEndpoints.contains(endpoint.id());
            double cost = mPlacement.cost(endpoint, tried, now);
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return best;
    }

    private boolean hasRoom(Endpoint endpoint, PendingCall call) {
        int room = mPlacement.concurrencyLimit(endpoint, call.mSpec.background());
        return endpoint.activeRequests() < room && !call.mOpenAttempts.containsValue(endpoint);
    }

    private void cancelOthers(PendingCall call, long kept) {
        for (Long attempt : List.copyOf(call.mOpenAttempts.keySet())) {
            if (attempt != kept) {
                close(call, attempt);
            }
        }
    }

    private void end(PendingCall call) {
        mCalls.remove(call.mSpec.id());
        for (Long attempt : List.copyOf(call.mOpenAttempts.keySet())) {
            close(call, attempt);
        }
    }

    private void close(PendingCall call, long attempt) {
        Endpoint endpoint = call.mOpenAttempts.remove(attempt);
        mByAttempt.remove(attempt);
        if (endpoint != null) {
            endpoint.onEnded();
        }
        mOutputs.cancel(attempt);
    }
}
