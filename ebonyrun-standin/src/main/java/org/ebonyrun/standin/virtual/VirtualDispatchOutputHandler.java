package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.routing.Answer;
import org.ebonyrun.core.routing.DispatchOutputs;
import org.ebonyrun.core.routing.Work;

/** Performs the outputs of a virtual entry's dispatcher. Not thread safe. */
final class VirtualDispatchOutputHandler implements DispatchOutputs {
    private final VirtualEntry mEntry;

    VirtualDispatchOutputHandler(VirtualEntry entry) {
        mEntry = entry;
    }

    @Override
    public boolean send(VmId vm, AttemptMessage message) {
        VirtualLink link = mEntry.mLinksByVm.get(vm);
        return link != null && link.sendToAgent(message);
    }

    @Override
    public void onPiece(Work work, byte[] data) {}

    @Override
    public void onAnswer(Work work, Answer answer) {
        mEntry.completeCall(work, answer.body(), answer.tokens());
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
        mEntry.post(() -> mEntry.mRollout.onSampleFinished(vm, key, info, mEntry.now()));
    }

    @Override
    public void onFault(Work work, Fault fault) {
        SampleKey key = work.sample();
        if (key == null) {
            mEntry.failCall(work, fault);
        } else {
            mEntry.post(() -> mEntry.mRollout.onSampleFailed(key, mEntry.now()));
        }
    }
}
