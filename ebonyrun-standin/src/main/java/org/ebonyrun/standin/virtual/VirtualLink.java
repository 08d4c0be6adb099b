package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.weights.WeightMessage;
import org.jspecify.annotations.Nullable;

/**
 * A connection of an entry to an agent: ordered both ways until it is cut.
 *
 * <p>Not thread safe.
 */
final class VirtualLink {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long REORDER_NANOS = Nanos.ofMillis(60);

    final long mNumber;
    final VirtualEntry mEntry;
    final VirtualAgent mAgent;
    private final VirtualWorld mWorld;
    private long mToAgentAt;
    private long mToEntryAt;
    private boolean mReorder;
    private boolean mOpen = true;

    VirtualLink(VirtualWorld world, long number, VirtualEntry entry, VirtualAgent agent) {
        mWorld = world;
        mNumber = number;
        mEntry = entry;
        mAgent = agent;
    }

    boolean isOpen() {
        return mOpen;
    }

    boolean sendToAgent(Message message) {
        return send(
                message,
                () -> {
                    mToAgentAt = arrival(mToAgentAt);
                    long at = takeReorder(mToAgentAt);
                    deliver(at, () -> mAgent.run(() -> mAgent.onMessage(this, message)));
                });
    }

    boolean sendToEntry(Message message) {
        return send(
                message,
                () -> {
                    mToEntryAt = arrival(mToEntryAt);
                    long at = takeReorder(mToEntryAt);
                    deliver(at, () -> mEntry.run(() -> mEntry.onMessage(this, message)));
                });
    }

    /** Cuts the link; each side that lives hears of it. */
    void close() {
        if (!mOpen) {
            return;
        }
        mOpen = false;
        Runnable atEntry = mEntry.guarded(() -> mEntry.onClosed(this));
        Runnable atAgent = mAgent.guarded(() -> mAgent.onClosed(this));
        mWorld.mTime.after(LATENCY_NANOS, atEntry);
        mWorld.mTime.after(LATENCY_NANOS, atAgent);
    }

    /** Lets everything that is sent from now on arrive late. */
    void delay(long nanos) {
        mToAgentAt = mWorld.mTime.now() + nanos;
        mToEntryAt = mWorld.mTime.now() + nanos;
    }

    /** Lets the next message arrive after the ones that follow it. */
    void reorderNext() {
        mReorder = true;
    }

    private boolean send(Message message, Runnable act) {
        if (!mOpen) {
            return false;
        }
        PathStep step = step(message);
        if (step == null) {
            act.run();
        } else {
            mWorld.act(step, Parties.ofLink(this), act);
        }
        return true;
    }

    private long arrival(long earlier) {
        return Math.max(earlier, mWorld.mTime.now() + LATENCY_NANOS);
    }

    private long takeReorder(long at) {
        long arrival = mReorder ? at + REORDER_NANOS : at;
        mReorder = false;
        return arrival;
    }

    private void deliver(long at, Runnable delivery) {
        mWorld.mTime.after(
                at - mWorld.mTime.now(),
                () -> {
                    if (mOpen) {
                        delivery.run();
                    }
                });
    }

    private static @Nullable PathStep step(Message message) {
        if (message instanceof AttemptMessage.Offer offer) {
            boolean sample = offer.job().kind() == WorkKind.SAMPLE;
            return sample ? PathStep.SAMPLE_OFFER : PathStep.CALL_OFFER;
        }
        if (message instanceof AttemptMessage.Piece) {
            return PathStep.CALL_PIECE;
        }
        if (message instanceof AttemptMessage.Done) {
            return PathStep.CALL_DONE;
        }
        if (message instanceof AttemptMessage.Refused) {
            return PathStep.CALL_REFUSED;
        }
        if (message instanceof ConfigMessage.ConfigUpdate) {
            return PathStep.CONFIG_SPREAD;
        }
        if (message instanceof WeightMessage.LoadOrder) {
            return PathStep.LOAD_ORDER;
        }
        if (message instanceof WeightMessage.LoadResult) {
            return PathStep.LOAD_RESULT;
        }
        return sampleStep(message);
    }

    private static @Nullable PathStep sampleStep(Message message) {
        if (message instanceof AttemptMessage.SampleFinished) {
            return PathStep.SAMPLE_FINISHED;
        }
        if (message instanceof AttemptMessage.FetchSample) {
            return PathStep.SAMPLE_FETCH;
        }
        if (message instanceof AttemptMessage.SampleContent) {
            return PathStep.SAMPLE_CONTENT;
        }
        if (message instanceof AttemptMessage.ReleaseSamples) {
            return PathStep.SAMPLE_RELEASE;
        }
        if (message instanceof AttemptMessage.HeldQuery) {
            return PathStep.HELD_QUERY;
        }
        return message instanceof AttemptMessage.HeldSamples ? PathStep.HELD_ANSWER : null;
    }
}
