package org.ebonyrun.daemon.entry;

import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.DispatchOutputs;
import org.ebonyrun.core.routing.Work;
import org.ebonyrun.daemon.link.PeerLink;

/** Carries out the outputs of the dispatcher. Confined to the dispatch event loop. */
final class DispatchOutputHandler implements DispatchOutputs {
    private final EntryContext mContext;

    DispatchOutputHandler(EntryContext context) {
        mContext = context;
    }

    @Override
    public boolean send(VmId vm, AttemptMessage message) {
        PeerLink peer = mContext.mPeersByVm.get(vm);
        return peer != null && peer.link().send(message);
    }

    @Override
    public void onPiece(Work work, byte[] data) {
        CallListener listener = mContext.mCallListeners.get(work.id());
        if (listener != null) {
            listener.onPiece(data);
        }
    }

    @Override
    public void onAnswer(Work work, Answer answer) {
        long now = System.nanoTime();
        mContext.mTargetMonitor.onAnswered(work, now - work.arrivedAt(), now);
        CallListener listener = mContext.mCallListeners.remove(work.id());
        if (listener != null) {
            listener.onAnswer(work, answer);
        }
    }

    @Override
    public void onSampleFinished(Work work, VmId vm, SampleInfo info) {
        SampleKey key = work.sample();
        if (key != null) {
            onUntrackedSampleFinished(vm, key, info);
        }
    }

    @Override
    public void onUntrackedSampleFinished(VmId vm, SampleKey key, SampleInfo info) {
        mContext.mRolloutLoop.post((machine, now) -> machine.onSampleFinished(vm, key, info, now));
    }

    @Override
    public void onRetry(Work work) {
        mContext.mMetrics.recordRetry(work.className().value());
    }

    @Override
    public void onFault(Work work, Fault fault) {
        SampleKey key = work.sample();
        if (key != null) {
            mContext.mRolloutLoop.post((machine, now) -> machine.onSampleFailed(key, now));
            return;
        }
        mContext.mTargetMonitor.onFault(work, fault, System.nanoTime());
        CallListener listener = mContext.mCallListeners.remove(work.id());
        if (listener != null) {
            listener.onFault(fault);
        }
    }
}
