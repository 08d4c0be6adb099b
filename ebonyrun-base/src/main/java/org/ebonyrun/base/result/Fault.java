package org.ebonyrun.base.result;

import static java.util.Objects.requireNonNull;

/**
 * A typed failure: its code, what is known about the work, and where it occurred.
 *
 * <p>Immutable and thread safe.
 *
 * @param code the stable error code
 * @param outcome whether the work ran
 * @param step the step of the request path at which the fault occurred, for example {@code
 *     endpoint.connect}
 * @param peer the peer at which the fault occurred; empty if it occurred in this process
 * @param detail a human-readable message
 * @param retryAfterMillis the delay before a retry, in milliseconds; zero if a retry is useless
 */
public record Fault(
        FaultCode code,
        Outcome outcome,
        String step,
        String peer,
        String detail,
        long retryAfterMillis) {

    /** Checks that every component is present. */
    public Fault {
        requireNonNull(code);
        requireNonNull(outcome);
        requireNonNull(step);
        requireNonNull(peer);
        requireNonNull(detail);
    }

    /** Creates a fault of work that did not run and should not be retried unchanged. */
    public static Fault notRun(FaultCode code, String step, String peer, String detail) {
        return new Fault(code, Outcome.NOT_RUN, step, peer, detail, 0);
    }

    /** Creates a fault of work that may or may not have run. */
    public static Fault unknown(FaultCode code, String step, String peer, String detail) {
        return new Fault(code, Outcome.UNKNOWN, step, peer, detail, 0);
    }

    /** Creates a fault of work that ended with a known error. */
    public static Fault failed(FaultCode code, String step, String peer, String detail) {
        return new Fault(code, Outcome.FAILED, step, peer, detail, 0);
    }

    /** Returns a copy with a retry delay of {@code millis} milliseconds. */
    public Fault withRetryAfterMillis(long millis) {
        return new Fault(code, outcome, step, peer, detail, millis);
    }

    /** Returns a copy with another outcome. */
    public Fault withOutcome(Outcome other) {
        return new Fault(code, other, step, peer, detail, retryAfterMillis);
    }

    /** Returns whether the work is known not to have run. */
    public boolean isNotRun() {
        return outcome == Outcome.NOT_RUN;
    }
}
