package org.ebonyrun.core.scaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;

/**
 * A scaler and a fake platform in virtual time, in steps of one second. The platform keeps the
 * number of endpoints that was ordered last; new ones serve after the boot time.
 */
final class ScalingSimulation {
    enum Answer {
        DONE,
        REFUSED,
        /** Carried out, without an answer. */
        LOST,
        /** Carried out after {@link #mLateSeconds}, without an answer. */
        LATE,
        /** Not carried out, without an answer. */
        SILENT
    }

    /** An order that the platform received. */
    record Received(long second, ScalingOrder order) {}

    private record Late(long second, FailureDomain domain, int count) {}

    static final int SLOTS = 4;

    final SortedMap<FailureDomain, Integer> mOrdered = new TreeMap<>();
    final SortedMap<FailureDomain, List<Long>> mReadyAt = new TreeMap<>();
    final Set<FailureDomain> mLost = new HashSet<>();
    final List<Received> mReceived = new ArrayList<>();
    final ScalingBounds mBounds;
    ServiceScaler mScaler;
    Answer mAnswer = Answer.DONE;
    boolean mComplete = true;
    long mLateSeconds = 4;
    long mSecond;
    private final List<Late> mLate = new ArrayList<>();

    ScalingSimulation(ScalingBounds bounds, int domains, int endpoints) {
        mBounds = bounds;
        mScaler = new ServiceScaler(bounds);
        for (int i = 0; i < domains; i++) {
            FailureDomain domain = domain(i);
            mOrdered.put(domain, endpoints);
            mReadyAt.put(domain, new ArrayList<>());
            for (int k = 0; k < endpoints; k++) {
                mReadyAt.get(domain).add(0L);
            }
        }
    }

    static FailureDomain domain(int index) {
        return FailureDomain.of("d" + index);
    }

    int serving(FailureDomain domain) {
        return mLost.contains(domain)
                ? 0
                : (int) mReadyAt.get(domain).stream().filter(at -> at <= mSecond).count();
    }

    int serving() {
        return mOrdered.keySet().stream().mapToInt(this::serving).sum();
    }

    /** Removes endpoints that the platform doesn't replace unless it is ordered to. */
    void crash(FailureDomain domain, int count) {
        for (int i = 0; i < count; i++) {
            mReadyAt.get(domain).remove(0);
        }
    }

    void carryOut(FailureDomain domain, int count) {
        mOrdered.put(domain, count);
        List<Long> ready = mReadyAt.get(domain);
        while (ready.size() > count) {
            ready.remove(ready.size() - 1);
        }
        while (ready.size() < count) {
            ready.add(mSecond + mBounds.bootNanos() / Nanos.PER_SECOND);
        }
    }

    void run(int seconds, double demand) {
        for (int i = 0; i < seconds; i++) {
            step(demand);
        }
    }

    void step(double demand) {
        mSecond++;
        long now = mSecond * Nanos.PER_SECOND;
        for (Late late : List.copyOf(mLate)) {
            if (late.second() <= mSecond) {
                mLate.remove(late);
                carryOut(late.domain(), late.count());
            }
        }
        SortedMap<FailureDomain, Integer> serving = new TreeMap<>();
        for (FailureDomain domain : mOrdered.keySet()) {
            if (serving(domain) > 0) {
                serving.put(domain, serving(domain));
            }
        }
        mScaler.onFigures(new ScalingFigures(demand, mComplete, SLOTS, serving), now);
        for (ScalingOrder order : mScaler.orders(now)) {
            mScaler.onSent(order, now);
            mReceived.add(new Received(mSecond, order));
            answer(order, now);
        }
    }

    private void answer(ScalingOrder order, long now) {
        FailureDomain domain = order.domain();
        switch (mAnswer) {
            case DONE -> {
                carryOut(domain, order.to());
                mScaler.onDone(domain);
            }
            case REFUSED -> mScaler.onRefused(domain, now);
            case LOST -> {
                carryOut(domain, order.to());
                mScaler.onUnanswered(domain, now);
            }
            case LATE -> {
                mLate.add(new Late(mSecond + mLateSeconds, domain, order.to()));
                mScaler.onUnanswered(domain, now);
            }
            default -> mScaler.onUnanswered(domain, now);
        }
    }
}
