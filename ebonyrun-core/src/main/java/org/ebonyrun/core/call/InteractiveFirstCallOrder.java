package org.ebonyrun.core.call;

import java.util.Comparator;

/**
 * Puts interactive calls before background calls, then orders by priority, then by deadline.
 *
 * <p>A trainer may have hundreds of samples scored at once by a service that also serves people's
 * lookups; the lookups must not wait behind such a burst. Immutable and thread safe.
 */
public final class InteractiveFirstCallOrder implements CallOrder {
    private static final Comparator<CallSpec> ORDER =
            Comparator.comparing(CallSpec::background)
                    .thenComparing(CallSpec::priority)
                    .thenComparing(CallSpec::deadline);

    @Override
    public int compare(CallSpec a, CallSpec b) {
        return ORDER.compare(a, b);
    }
}
