package org.ebonyrun.ports.http;

import com.google.common.base.CharMatcher;

/**
 * The characters that names and values may consist of. The codec accepts others, among them line
 * ends, which a recipient of a forwarded message would take for further headers or messages.
 *
 * <p>Stateless and thread safe.
 */
final class HeaderSyntax {
    // RFC 9110, section 5.6.2.
    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();
    // RFC 9110, section 5.5: all but control characters, with the exception of the tabulator.
    private static final CharMatcher NO_VALUE =
            CharMatcher.inRange('\0', '\u001f')
                    .and(CharMatcher.isNot('\t'))
                    .or(CharMatcher.is('\u007f'))
                    .precomputed();
    private static final CharMatcher TARGET = CharMatcher.inRange('!', '~').precomputed();

    private HeaderSyntax() {}

    /** Returns whether a text is a token, such as a method or the name of a header. */
    static boolean isToken(String text) {
        return !text.isEmpty() && TOKEN.matchesAllOf(text);
    }

    /** Returns whether a text can be the value of a header. */
    static boolean isValue(String text) {
        return NO_VALUE.matchesNoneOf(text);
    }

    /** Returns whether a text can be the target of a request. */
    static boolean isTarget(String text) {
        return !text.isEmpty() && TARGET.matchesAllOf(text);
    }
}
