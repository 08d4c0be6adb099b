package org.ebonyrun.core.hedge;

import java.util.OptionalDouble;
import java.util.function.Supplier;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Applies the rule that the operators' current limit on extra work calls for: {@link TargetHedging}
 * without a limit, {@link NoHedging} with a limit of zero, else {@link QuantileHedging}. Nothing is
 * observed without a limit.
 *
 * <p>Not thread safe; confined to the event loop of its call machine.
 */
public final class ConfiguredHedging implements Hedging {
    private final Supplier<OptionalDouble> mLimit;
    private final Hedging mUnlimited = new TargetHedging();
    private final Hedging mNone = new NoHedging();
    private final Hedging mLimited;
    // The limit may change between a decision and the attempt.
    private Hedging mDecider = mNone;

    /** Creates a rule that reads the limit anew for each decision. */
    public ConfiguredHedging(Supplier<OptionalDouble> limit) {
        mLimit = limit;
        mLimited = new QuantileHedging(() -> limit.get().orElse(0));
    }

    private Hedging current() {
        OptionalDouble limit = mLimit.get();
        if (limit.isEmpty()) {
            return mUnlimited;
        }
        return limit.getAsDouble() == 0 ? mNone : mLimited;
    }

    @Override
    public HedgeDecision decide(OpenCall call, long now) {
        mDecider = current();
        return mDecider.decide(call, now);
    }

    @Override
    public boolean timesEachAttempt() {
        return current().timesEachAttempt();
    }

    @Override
    public void onHedgeSent() {
        mDecider.onHedgeSent();
    }

    @Override
    public void onLatency(
            String route, ServiceName service, Endpoint endpoint, long nanos, long now) {
        current().onLatency(route, service, endpoint, nanos, now);
    }

    @Override
    public void onRejected(ServiceName service, long now) {
        current().onRejected(service, now);
    }

    @Override
    public void onCallAnswered() {
        current().onCallAnswered();
    }
}
