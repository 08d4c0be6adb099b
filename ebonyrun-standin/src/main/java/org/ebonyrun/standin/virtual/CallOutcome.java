package org.ebonyrun.standin.virtual;

import org.ebonyrun.base.result.Fault;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a call as its caller saw it.
 *
 * @param text the response text; null if there is none
 * @param tokens the token count stated in the response
 * @param fault the reported fault; null if the call was answered or the connection was lost
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

    /** Returns whether the call was reported as not run. */
    public boolean isNotRun() {
        return fault != null && fault.isNotRun();
    }
}
