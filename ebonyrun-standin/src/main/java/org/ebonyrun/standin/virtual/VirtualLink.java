package org.ebonyrun.standin.virtual;

import static java.util.Map.entry;

import java.util.Map;
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
    private static final Map<Class<? extends Message>, InjectionPoint> STEPS =
            Map.ofEntries(
                    entry(AttemptMessage.Piece.class, InjectionPoint.CALL_PIECE),
                    entry(AttemptMessage.Done.class, InjectionPoint.CALL_DONE),
                    entry(AttemptMessage.Refused.class, InjectionPoint.CALL_REFUSED),
                    entry(AttemptMessage.SampleFinished.class, InjectionPoint.SAMPLE_FINISHED),
                    entry(AttemptMessage.FetchSample.class, InjectionPoint.SAMPLE_FETCH),
                    entry(AttemptMessage.SampleContent.class, InjectionPoint.SAMPLE_CONTENT),
                    entry(AttemptMessage.ReleaseSamples.class, InjectionPoint.SAMPLE_RELEASE),
                    entry(AttemptMessage.HeldQuery.class, InjectionPoint.HELD_QUERY),
                    entry(AttemptMessage.HeldSamples.class, InjectionPoint.HELD_ANSWER),
                    entry(ConfigMessage.ConfigUpdate.class, InjectionPoint.CONFIG_SPREAD),
                    entry(WeightMessage.LoadOrder.class, InjectionPoint.LOAD_ORDER),
                    entry(WeightMessage.LoadResult.class, InjectionPoint.LOAD_RESULT));

    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long REORDER_NANOS = Nanos.ofMillis(60);

    final long mNumber;
    final VirtualEntry mEntry;
    final VirtualAgent mAgent;
    private final VirtualDeployment mWorld;
    private long mToAgentAt;
    private long mToEntryAt;
    private boolean mReorder;
    private boolean mOpen = true;

    VirtualLink(VirtualDeployment world, long number, VirtualEntry entry, VirtualAgent agent) {
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
        Runnable atEntry = mEntry.guarded(() -> mEntry.onLinkClosed(this));
        Runnable atAgent = mAgent.guarded(() -> mAgent.onLinkClosed(this));
        mWorld.mClock.schedule(LATENCY_NANOS, atEntry);
        mWorld.mClock.schedule(LATENCY_NANOS, atAgent);
    }

    /** Lets everything that is sent from now on arrive late. */
    void delay(long nanos) {
        mToAgentAt = mWorld.mClock.now() + nanos;
        mToEntryAt = mWorld.mClock.now() + nanos;
    }

    /** Lets the next message arrive after the ones that follow it. */
    void reorderNext() {
        mReorder = true;
    }

    private boolean send(Message message, Runnable act) {
        if (!mOpen) {
            return false;
        }
        InjectionPoint step = step(message);
        if (step == null) {
            act.run();
        } else {
            mWorld.performWithFault(step, Participants.ofLink(this), act);
        }
        return true;
    }

    private long arrival(long earlier) {
        return Math.max(earlier, mWorld.mClock.now() + LATENCY_NANOS);
    }

    private long takeReorder(long at) {
        long arrival = mReorder ? at + REORDER_NANOS : at;
        mReorder = false;
        return arrival;
    }

    private void deliver(long at, Runnable delivery) {
        mWorld.mClock.schedule(
                at - mWorld.mClock.now(),
                () -> {
                    if (mOpen) {
                        delivery.run();
                    }
                });
    }

    private static @Nullable InjectionPoint step(Message message) {
        if (message instanceof AttemptMessage.Offer offer) {
            boolean sample = offer.job().kind() == WorkKind.SAMPLE;
            return sample ? InjectionPoint.SAMPLE_OFFER : InjectionPoint.CALL_OFFER;
        }
        return STEPS.get(message.getClass());
    }
}
