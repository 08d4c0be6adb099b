package org.ebonyrun.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Decides which calls are admitted, given the keys in force and how long ago the store confirmed
 * them. Serves callers during normal operation, when keys are withdrawn, and while the entry is cut
 * off from the store, where the operator chooses between availability and strictness.
 *
 * <p>Immutable and thread safe.
 *
 * @param strict whether keys are refused once the store has been silent for too long
 * @param maxSilenceNanos how long the store may be silent before keys may have been withdrawn
 *     unnoticed, in nanoseconds
 */
public record AdmissionPolicy(boolean strict, long maxSilenceNanos) {
    /** Checks that the time is positive. */
    public AdmissionPolicy {
        checkArgument(maxSilenceNanos > 0, "silence is not positive: %s ns", maxSilenceNanos);
    }

    /**
     * Decides about a call.
     *
     * @param isPublic whether the call needs no key
     * @param key the key of the caller; empty if it is missing or malformed
     * @param silenceNanos the time since the store last confirmed the configuration
     */
    public Admission decide(
            Workspaces workspaces, boolean isPublic, Optional<KeyDigest> key, long silenceNanos) {
        if (!workspaces.isEnabled()) {
            return Admission.admitted(null);
        }
        boolean refusesKeys = strict && isOutdated(silenceNanos);
        Optional<Workspace> workspace =
                refusesKeys ? Optional.empty() : key.flatMap(workspaces::find);
        if (isPublic || workspace.isPresent()) {
            return Admission.admitted(workspace.orElse(null));
        }
        return Admission.denied(
                refusesKeys && key.isPresent()
                        ? Admission.Outcome.OUTDATED
                        : Admission.Outcome.UNKNOWN_KEY);
    }

    /** Returns whether keys may have been withdrawn unnoticed. */
    public boolean isOutdated(long silenceNanos) {
        return silenceNanos >= maxSilenceNanos;
    }
}
