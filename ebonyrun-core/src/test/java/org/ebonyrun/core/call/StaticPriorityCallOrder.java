package org.ebonyrun.core.call;

import java.util.Comparator;

/** A baseline for {@link CallPolicyTest}: orders calls by priority, then by arrival. */
final class StaticPriorityCallOrder implements CallOrder {
    private static final Comparator<CallSpec> ORDER =
            Comparator.comparingInt((CallSpec call) -> call.route().call().priority())
                    .thenComparingLong(CallSpec::arrivedAt);

    @Override
    public int compare(CallSpec a, CallSpec b) {
        return ORDER.compare(a, b);
    }
}
