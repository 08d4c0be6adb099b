package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.result.Fault;
import org.jspecify.annotations.Nullable;

/**
 * What a caller saw of its call.
 *
 * @param text the answer; null if there is none
 * @param tokens tokens that the answer says it has
 * @param fault why there is no answer; null if the connection was lost, or there is an answer
 */
public record CallOutcome(@Nullable String text, int tokens, @Nullable Fault fault) {
    static CallOutcome answered(String text, int tokens) {
        return new CallOutcome(text, tokens, null);
    }

    static CallOutcome failed(Fault fault) {
        return new CallOutcome(null, 0, fault);
    }

    static CallOutcome lost() {
        return new CallOutcome(null, 0, null);
    }

    /** Returns whether the caller was told that its call did not run. */
    public boolean isNotRun() {
        return fault != null && fault.isNotRun();
    }
}
