package org.ebonyrun.core.call;

import java.util.Comparator;

/**
 * People's calls before background calls, then by priority, then by the time at which they end.
 *
 * <p>Answers the load of a trainer that has hundreds of samples scored at once while people look
 * things up at the same service. Immutable and thread safe.
 */
public final class InteractiveFirstCallOrder implements CallOrder {
    private static final Comparator<CallSpec> ORDER =
            Comparator.comparing(CallSpec::background)
                    .thenComparing(call -> call.route().call().priority())
                    .thenComparing(CallSpec::deadline);

    @Override
    public int compare(CallSpec a, CallSpec b) {
        return ORDER.compare(a, b);
    }
}
