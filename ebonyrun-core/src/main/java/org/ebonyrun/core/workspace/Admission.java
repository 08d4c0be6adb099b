package org.ebonyrun.core.workspace;

import org.ebonyrun.base.id.WorkspaceName;
import org.jspecify.annotations.Nullable;

/**
 * Whether a call is admitted, and for which workspace.
 *
 * <p>Immutable and thread safe.
 *
 * @param outcome the decision
 * @param workspace the workspace that holds the caller's key; null if the call is not admitted, or
 *     needs no key and has none
 */
public record Admission(Outcome outcome, @Nullable Workspace workspace) {
    /** A decision. */
    public enum Outcome {
        /** The call may run. */
        ADMITTED,
        /** The call has no key, or one that no workspace holds. */
        UNKNOWN_KEY,
        /** Whether the key is valid can't be decided, because the configuration may be outdated. */
        OUTDATED
    }

    static Admission admitted(@Nullable Workspace workspace) {
        return new Admission(Outcome.ADMITTED, workspace);
    }

    static Admission denied(Outcome outcome) {
        return new Admission(outcome, null);
    }

    /** Returns whether the call may run. */
    public boolean isAdmitted() {
        return outcome == Outcome.ADMITTED;
    }

    /** Returns the name of the workspace; null if there is none. */
    public @Nullable WorkspaceName workspaceName() {
        return workspace == null ? null : workspace.name();
    }
}
