package org.ebonyrun.base.id;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Pattern;

/** Checks the syntax of names. Stateless and thread safe. */
final class Names {
    private static final Pattern NAME = Pattern.compile("[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}");

    private Names() {}

    /**
     * Checks a name and returns it.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 63 letters, digits, dots,
     *     underscores or hyphens that begin with a letter or digit
     */
    static String check(String kind, String value) {
        checkArgument(NAME.matcher(value).matches(), "%s is not a valid name: '%s'", kind, value);
        return value;
    }
}
