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
 * passed on to other entries.
 *
 * <p>Thread safe. Each request's sink is called exactly once.
 */
final class PendingStepRequests {
    private static final long GRACE_MILLIS = 5_000;
    private static final long RETRY_MILLIS = 300;

    private final EntryContext mContext;
    private final AtomicLong mIds = new AtomicLong();
    private final Map<Long, Waiting> mWaiting = new ConcurrentHashMap<>();
    private final Map<Long, Passed> mPassed = new ConcurrentHashMap<>();

    PendingStepRequests(EntryContext context) {
        mContext = context;
    }

    /** A request that waits for its reply, and the link it came on, if any. */
    private record Waiting(Consumer<StepReply> sink, @Nullable Link from) {}

    /** A request that was passed on. */
    private record Passed(Link to, StepRequest request) {}

    /** Returns whether no request waits. */
    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Begins a request of a trainer. */
    void begin(StepRequest request, long waitMillis, Consumer<StepReply> sink) {
        begin(request, waitMillis, false, new Waiting(sink, null));
    }

    /** Begins a request that another entry passed on. */
    void beginForwarded(PeerLink peer, RolloutMessage.Forward forward) {
        Consumer<StepReply> sink =
                reply -> peer.link().send(new RolloutMessage.Forwarded(forward.requestId(), reply));
        long wait = forward.request() instanceof StepRequest.Pull pull ? pull.waitMillis() : 0;
        begin(forward.request(), wait, true, new Waiting(sink, peer.link()));
    }

    private void begin(StepRequest request, long waitMillis, boolean forwarded, Waiting waiting) {
        long id = mIds.incrementAndGet();
        mWaiting.put(id, waiting);
        boolean accepted =
                mContext.mRolloutLoop.offer(
                        (machine, now) -> machine.onRequest(id, request, forwarded, now));
        if (!accepted) {
            Fault fault =
                    Fault.notRun(FaultCode.OVERLOADED, "entry.ring", "", "the entry is overloaded");
            complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_MILLIS)));
            return;
        }
        mContext.mTimer.schedule(
                () -> timeOut(id), waitMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Answers a request that was passed on, if the answer comes from where it was passed to. */
    void completeForwarded(Link from, RolloutMessage.Forwarded forwarded) {
        Passed passed = mPassed.get(forwarded.requestId());
        if (passed != null && passed.to() == from) {
            complete(forwarded.requestId(), forwarded.reply());
        }
    }

    /** Answers a request; does nothing if it was answered before. */
    void complete(long id, StepReply reply) {
        mPassed.remove(id);
        Waiting waiting = mWaiting.remove(id);
        if (waiting != null) {
            waiting.sink().accept(reply);
        }
    }

    /** Passes a request on to the owner of the step. */
    void forward(LeaseHolder owner, long id, StepRequest request) {
        PeerLink known = mContext.mPeersByVm.get(owner.vm());
        CompletableFuture<Link> link =
                known != null && known.link().isOpen()
                        ? CompletableFuture.completedFuture(known.link())
                        : mContext.mTransport.connect(owner.host(), owner.port());
        link.whenComplete(
                (open, error) -> {
                    if (error != null || open == null) {
                        unreachable(id, request);
                        return;
                    }
                    mPassed.put(id, new Passed(open, request));
                    if (!open.send(new RolloutMessage.Forward(id, request))) {
                        unreachable(id, request);
                    }
                });
    }

    /** Takes note of a lost link: what was passed on over it, or came on it, ends. */
    void onLinkLost(Link link) {
        mPassed.forEach(
                (id, passed) -> {
                    if (passed.to() == link) {
                        unreachable(id, passed.request());
                    }
                });
        mWaiting.forEach(
                (id, waiting) -> {
                    if (waiting.from() == link && mWaiting.remove(id) != null) {
                        mContext.mRolloutLoop.post((machine, now) -> machine.cancelRequest(id));
                    }
                });
    }

    private void unreachable(long id, StepRequest request) {
        mContext.mRolloutLoop.post(
                (machine, now) -> machine.onOwnerUnreachable(request.trainer(), now));
        Fault fault =
                Fault.unknown(
                        FaultCode.OWNER_UNAVAILABLE, "step.forward", "", "the owner went away");
        complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_MILLIS)));
    }

    private void timeOut(long id) {
        if (mWaiting.containsKey(id)) {
            mContext.mRolloutLoop.post((machine, now) -> machine.cancelRequest(id));
            Fault fault =
                    Fault.unknown(FaultCode.DEADLINE, "step.wait", "", "no reply of the owner");
            complete(id, StepReply.failed(fault.withRetryAfterMillis(RETRY_MILLIS)));
        }
    }
}
