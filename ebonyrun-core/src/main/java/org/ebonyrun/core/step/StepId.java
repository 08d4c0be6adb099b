package org.ebonyrun.core.step;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Pattern;

/**
 * Identifies a step.
 *
 * @param value 1 to 100 letters, digits, dots, underscores or hyphens
 */
public record StepId(String value) {
    private static final Pattern PATTERN = Pattern.compile("[a-zA-Z0-9._-]{1,100}");

    /**
     * Checks the syntax.
     *
     * @throws IllegalArgumentException if the ID is malformed
     */
    public StepId {
        checkArgument(PATTERN.matcher(value).matches(), "not a step id: '%s'", value);
    }

    /** Returns the ID with the given text. */
    public static StepId of(String value) {
        return new StepId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
