package org.ebonyrun.core.call;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.Set;

/**
 * The endpoints that a call crashed, or seems to have crashed.
 *
 * <p>Immutable and thread safe.
 *
 * @param endpoints the lives of those endpoints, in the order of their crashes; the last {@value
 *     #MAX_ENDPOINTS} at most
 * @param atMillis when the last of them crashed, in Unix milliseconds
 * @param trialUntilMillis until when one entry may send the call although it is blocked, in Unix
 *     milliseconds
 */
public record CrashRecord(Set<String> endpoints, long atMillis, long trialUntilMillis) {
    /** The number of endpoints after which the call is blocked. */
    public static final int BLOCKING_ENDPOINTS = 3;

    static final int MAX_ENDPOINTS = 12;
    private static final long FIRST_PAUSE_MILLIS = 5_000;
    private static final long MAX_PAUSE_MILLIS = 1_800_000;

    /** Copies the IDs, without the earliest ones beyond the maximum. */
    public CrashRecord {
        int excess = Math.max(0, endpoints.size() - MAX_ENDPOINTS);
        endpoints = ImmutableSet.copyOf(Iterables.skip(endpoints, excess));
    }

    /** Creates a record of a call that no entry tries. */
    public CrashRecord(Set<String> endpoints, long atMillis) {
        this(endpoints, atMillis, 0);
    }

    /** Returns whether the call may not be sent again, except for a trial. */
    public boolean isBlocked() {
        return endpoints.size() >= BLOCKING_ENDPOINTS;
    }

    /**
     * Returns whether one more endpoint may block the call. It is then sent to one endpoint at a
     * time, so that no more endpoints than necessary crash.
     */
    public boolean isSuspect() {
        return endpoints.size() >= BLOCKING_ENDPOINTS - 1;
    }

    /** Returns for how long nobody tries the blocked call; doubles with each further crash. */
    public long pauseMillis() {
        int further = Math.max(0, endpoints.size() - BLOCKING_ENDPOINTS);
        return Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << further);
    }

    /** Returns when an entry may try the blocked call, in Unix milliseconds. */
    public long nextTrialMillis() {
        return Math.max(atMillis + pauseMillis(), trialUntilMillis);
    }

    /** Returns a record of the endpoints of both, with the later times. */
    public CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                ImmutableSet.<String>builder().addAll(endpoints).addAll(other.endpoints).build(),
                Math.max(atMillis, other.atMillis),
                Math.max(trialUntilMillis, other.trialUntilMillis));
    }

    /** Returns this record with a trial. */
    CrashRecord withTrialUntil(long millis) {
        return new CrashRecord(endpoints, atMillis, millis);
    }

    /** Returns this record without an endpoint that has not crashed. */
    CrashRecord without(String endpoint) {
        ImmutableSet.Builder<String> rest = ImmutableSet.builder();
        endpoints.stream().filter(other -> !other.equals(endpoint)).forEach(rest::add);
        return new CrashRecord(rest.build(), atMillis, trialUntilMillis);
    }
}
