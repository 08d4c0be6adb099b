package org.ebonyrun.core.call;

/** A baseline for {@link CallPolicyTest}: orders calls by arrival. */
final class FifoCallOrder implements CallOrder {
    @Override
    public int compare(CallSpec a, CallSpec b) {
        return Long.compare(a.arrivedAt(), b.arrivedAt());
    }
}
