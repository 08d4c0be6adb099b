package org.ebonyrun.core.call;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.Set;

/**
 * The endpoints that a call crashed, or seems to have crashed.
 *
 * <p>Immutable and thread safe.
 *
 * @param endpoints the IDs of those endpoints, {@value #MAX_ENDPOINTS} at most
 * @param atMillis when the call was last seen, in Unix milliseconds
 */
public record CrashRecord(Set<String> endpoints, long atMillis) {
    /** The number of endpoints after which the call is blocked. */
    public static final int MAX_ENDPOINTS = 3;

    /** Copies the IDs, without those beyond the maximum. */
    public CrashRecord {
        endpoints = ImmutableSet.copyOf(Iterables.limit(endpoints, MAX_ENDPOINTS));
    }

    /** Returns whether the call may not be sent again. */
    public boolean isBlocked() {
        return endpoints.size() >= MAX_ENDPOINTS;
    }

    /**
     * Returns whether one more endpoint may block the call. It is then sent to one endpoint at a
     * time, so that no more endpoints than necessary crash.
     */
    public boolean isSuspect() {
        return endpoints.size() >= MAX_ENDPOINTS - 1;
    }

    /** Returns a record of the endpoints of both, with the later time. */
    public CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                ImmutableSet.<String>builder().addAll(endpoints).addAll(other.endpoints).build(),
                Math.max(atMillis, other.atMillis));
    }
}
