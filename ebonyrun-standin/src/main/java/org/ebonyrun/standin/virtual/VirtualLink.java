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
 * A connection between an entry and an agent. Delivers messages in order in each direction until it
 * is closed.
 *
 * <p>Not thread safe.
 */
final class VirtualLink {
    private static final Map<Class<? extends Message>, InjectionPoint> INJECTION_POINTS =
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
    private static final long REORDER_DELAY_NANOS = Nanos.ofMillis(60);

    final long mNumber;
    final VirtualEntry mEntry;
    final VirtualAgent mAgent;
    private final VirtualDeployment mDeployment;
    private long mLastArrivalAtAgent;
    private long mLastArrivalAtEntry;
    private boolean mReorder;
    private boolean mOpen = true;

    VirtualLink(VirtualDeployment deployment, long number, VirtualEntry entry, VirtualAgent agent) {
        mDeployment = deployment;
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
                    mLastArrivalAtAgent = arrival(mLastArrivalAtAgent);
                    long at = applyReorder(mLastArrivalAtAgent);
                    deliver(at, () -> mAgent.run(() -> mAgent.onMessage(this, message)));
                });
    }

    boolean sendToEntry(Message message) {
        return send(
                message,
                () -> {
                    mLastArrivalAtEntry = arrival(mLastArrivalAtEntry);
                    long at = applyReorder(mLastArrivalAtEntry);
                    deliver(at, () -> mEntry.run(() -> mEntry.onMessage(this, message)));
                });
    }

    /** Closes the link and notifies each side that is alive. */
    void close() {
        if (!mOpen) {
            return;
        }
        mOpen = false;
        Runnable notifyEntry = mEntry.guarded(() -> mEntry.onLinkClosed(this));
        Runnable notifyAgent = mAgent.guarded(() -> mAgent.onLinkClosed(this));
        mDeployment.mClock.schedule(LATENCY_NANOS, notifyEntry);
        mDeployment.mClock.schedule(LATENCY_NANOS, notifyAgent);
    }

    /** Delays messages sent from now on: none arrives within the given time, in nanoseconds. */
    void delay(long nanos) {
        mLastArrivalAtAgent = mDeployment.mClock.now() + nanos;
        mLastArrivalAtEntry = mDeployment.mClock.now() + nanos;
    }

    /** Delays the next message by 60 ms, so that later messages arrive before it. */
    void reorderNext() {
        mReorder = true;
    }

    private boolean send(Message message, Runnable action) {
        if (!mOpen) {
            return false;
        }
        InjectionPoint injectionPoint = injectionPoint(message);
        if (injectionPoint == null) {
            action.run();
        } else {
            mDeployment.performWithFault(injectionPoint, Participants.ofLink(this), action);
        }
        return true;
    }

    private long arrival(long previous) {
        return Math.max(previous, mDeployment.mClock.now() + LATENCY_NANOS);
    }

    private long applyReorder(long at) {
        long arrival = mReorder ? at + REORDER_DELAY_NANOS : at;
        mReorder = false;
        return arrival;
    }

    private void deliver(long at, Runnable delivery) {
        mDeployment.mClock.schedule(
                at - mDeployment.mClock.now(),
                () -> {
                    if (mOpen) {
                        delivery.run();
                    }
                });
    }

    private static @Nullable InjectionPoint injectionPoint(Message message) {
        if (message instanceof AttemptMessage.Offer offer) {
            boolean sample = offer.job().kind() == WorkKind.SAMPLE;
            return sample ? InjectionPoint.SAMPLE_OFFER : InjectionPoint.CALL_OFFER;
        }
        return INJECTION_POINTS.get(message.getClass());
    }
}
