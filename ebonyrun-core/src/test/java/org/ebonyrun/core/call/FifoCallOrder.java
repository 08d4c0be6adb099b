package org.ebonyrun.core.call;

/** A baseline: calls in the order of their arrival. */
final class FifoCallOrder implements CallOrder {
    @Override
    public int compare(CallSpec a, CallSpec b) {
        return Long.compare(a.arrivedAt(), b.arrivedAt());
    }
}
