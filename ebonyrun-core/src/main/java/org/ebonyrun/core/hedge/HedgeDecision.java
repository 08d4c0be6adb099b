package org.ebonyrun.core.hedge;

import java.util.List;

/**
 * The decision about a hedged attempt of a call.
 *
 * <p>Immutable and thread safe.
 *
 * @param verdict whether an attempt is sent, or why not
 * @param delay the delay that was applied
 * @param scopes the endpoints that may get the attempt; the first scope with a free slot is used
 */
public record HedgeDecision(HedgeVerdict verdict, HedgeDelay delay, List<HedgeScope> scopes) {
    /** Copies the scopes. */
    public HedgeDecision {
        scopes = List.copyOf(scopes);
    }

    /** Returns a decision against an attempt. */
    static HedgeDecision not(HedgeVerdict verdict, HedgeDelay delay) {
        return new HedgeDecision(verdict, delay, List.of());
    }

    /** Returns this decision as one that no endpoint had room for. */
    public HedgeDecision withoutEndpoint() {
        return not(HedgeVerdict.NO_ENDPOINT, delay);
    }
}
