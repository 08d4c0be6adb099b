package org.ebonyrun.daemon.entry;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.wire.Link;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.rollout.RolloutMessage;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.daemon.link.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * Requests about steps that wait for their reply: from trainers, from other entries, and those
 * forwarded to other entries.
 *
 * <p>Thread safe. Each request's callback is called exactly once, unless the link on which the
 * request arrived is lost.
 */
final class PendingStepRequests {
    private static final long REPLY_GRACE_MILLIS = 5_000;
    private static final long RETRY_AFTER_MILLIS = 300;

    private final EntryContext mContext;
    private final AtomicLong mIds = new AtomicLong();
    private final Map<Long, PendingRequest> mPending = new ConcurrentHashMap<>();
    private final Map<Long, ForwardedRequest> mForwarded = new ConcurrentHashMap<>();

    PendingStepRequests(EntryContext context) {
        mContext = context;
    }

    /** A request that waits for its reply, and the link on which it arrived, if any. */
    private record PendingRequest(Consumer<StepReply> callback, @Nullable Link from) {}

    /** A request that was forwarded to another entry. */
    private record ForwardedRequest(Link to, StepRequest request) {}

    /** Returns whether no request waits for its reply. */
    boolean isEmpty() {
        return mPending.isEmpty();
    }

    /** Accepts a request of a trainer. */
    void begin(StepRequest request, long waitMillis, Consumer<StepReply> callback) {
        begin(request, waitMillis, false, new PendingRequest(callback, null));
    }

    /** Accepts a request that another entry forwarded. */
    void beginForwarded(PeerLink peer, RolloutMessage.Forward forward) {
        Consumer<StepReply> callback =
                reply -> peer.link().send(new RolloutMessage.Forwarded(forward.requestId(), reply));
        long wait = forward.request() instanceof StepRequest.Pull pull ? pull.waitMillis() : 0;
        begin(forward.request(), wait, true, new PendingRequest(callback, peer.link()));
    }

    private void begin(
            StepRequest request, long waitMillis, boolean forwarded, PendingRequest pending) {
        long id = mIds.incrementAndGet();
        mPending.put(id, pending);
        boolean accepted =
                mContext.mRolloutLoop.offer(
                        (machine, now) -> machine.onRequest(id, request, forwarded, now));
        if (!accepted) {
            Fault fault =
                    Fault.notRun(FaultCode.OVERLOADED, "entry.ring", "", "the entry is overloaded");
            complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_AFTER_MILLIS)));
            return;
        }
        mContext.mTimer.schedule(
                () -> timeOut(id), waitMillis + REPLY_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Completes a forwarded request if the reply arrives on the link on which it was forwarded. */
    void completeForwarded(Link from, RolloutMessage.Forwarded forwarded) {
        ForwardedRequest target = mForwarded.get(forwarded.requestId());
        if (target != null && target.to() == from) {
            complete(forwarded.requestId(), forwarded.reply());
        }
    }

    /** Completes a request; does nothing if it is complete already. */
    void complete(long id, StepReply reply) {
        mForwarded.remove(id);
        PendingRequest pending = mPending.remove(id);
        if (pending != null) {
            pending.callback().accept(reply);
        }
    }

    /** Forwards a request to the owner of the step. */
    void forward(LeaseHolder owner, long id, StepRequest request) {
        PeerLink connected = mContext.mPeersByVm.get(owner.vm());
        CompletableFuture<Link> link =
                connected != null && connected.link().isOpen()
                        ? CompletableFuture.completedFuture(connected.link())
                        : mContext.mTransport.connect(owner.host(), owner.port());
        link.whenComplete(
                (openLink, error) -> {
                    if (error != null || openLink == null) {
                        failUnreachable(id, request);
                        return;
                    }
                    mForwarded.put(id, new ForwardedRequest(openLink, request));
                    if (!openLink.send(new RolloutMessage.Forward(id, request))) {
                        failUnreachable(id, request);
                    }
                });
    }

    /**
     * Handles a lost link: fails the requests that were forwarded over it, and drops those that
     * arrived on it.
     */
    void onLinkLost(Link link) {
        mForwarded.forEach(
                (id, target) -> {
                    if (target.to() == link) {
                        failUnreachable(id, target.request());
                    }
                });
        mPending.forEach(
                (id, pending) -> {
                    if (pending.from() == link && mPending.remove(id) != null) {
                        mContext.mRolloutLoop.post((machine, now) -> machine.cancelRequest(id));
                    }
                });
    }

    private void failUnreachable(long id, StepRequest request) {
        mContext.mRolloutLoop.post(
                (machine, now) -> machine.onOwnerUnreachable(request.trainer(), now));
        Fault fault =
                Fault.unknown(
                        FaultCode.OWNER_UNAVAILABLE,
                        "step.forward",
                        "",
                        "the owner of the step is unreachable");
        complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_AFTER_MILLIS)));
    }

    private void timeOut(long id) {
        if (mPending.containsKey(id)) {
            mContext.mRolloutLoop.post((machine, now) -> machine.cancelRequest(id));
            Fault fault =
                    Fault.unknown(
                            FaultCode.DEADLINE,
                            "step.wait",
                            "",
                            "the owner of the step did not reply");
            complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_AFTER_MILLIS)));
        }
    }
}
