package org.ebonyrun.ports.http;

import com.google.common.base.CharMatcher;

/**
 * The characters that names and values may consist of. The codec accepts others, among them line
 * ends, which a recipient of a forwarded message would take for further headers or messages.
 *
 * <p>Stateless and thread safe.
 */
public final class HeaderSyntax {
    // RFC 9110, section 5.6.2.
    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();
    // RFC 9110, section 5.5: characters of one byte, without control characters except for the
    // tabulator.
    private static final CharMatcher VALUE =
            CharMatcher.is('\t')
                    .or(CharMatcher.inRange(' ', '~'))
                    .or(CharMatcher.inRange('\u0080', '\u00ff'))
                    .precomputed();
    private static final CharMatcher TARGET = CharMatcher.inRange('!', '~').precomputed();

    private HeaderSyntax() {}

    /** Returns whether a text is a token, such as a method or the name of a header. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && TOKEN.matchesAllOf(text);
    }

    /** Returns whether a text can be the value of a header. */
    public static boolean isValue(String text) {
        return VALUE.matchesAllOf(text);
    }

    /** Returns whether a text can be the target of a request. */
    public static boolean isTarget(String text) {
        return !text.isEmpty() && TARGET.matchesAllOf(text);
    }
}
