package org.ebonyrun.ports.http;

import com.google.common.base.CharMatcher;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Says whether everyone who reads a request finds the same end of it.
 *
 * <p>The codec skips a header whose name it doesn't know and a coding that it doesn't know, and
 * then reads the body as requests. Such a request can't be told from what follows it. Stateless,
 * thread safe.
 */
final class RequestFraming {
    // RFC 9110, 5.6.2.
    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();

    private RequestFraming() {}

    /** Returns whether a request, whose head is read, has one possible end only. */
    static boolean isUnambiguous(HttpRequestPacket packet) {
        Protocol protocol = packet.getProtocol();
        if (protocol != Protocol.HTTP_1_1 && protocol != Protocol.HTTP_1_0) {
            return false;
        }
        int codings = 0;
        boolean hasLength = false;
        MimeHeaders headers = packet.getHeaders();
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.getName(i).toString();
            if (!isToken(name)) {
                return false;
            }
            if (name.equalsIgnoreCase("Transfer-Encoding")) {
                codings++;
                if (!headers.getValue(i).toString().equalsIgnoreCase("chunked")) {
                    return false;
                }
            }
            hasLength |= name.equalsIgnoreCase("Content-Length");
        }
        boolean oneCoding = codings == 1 && !hasLength && protocol == Protocol.HTTP_1_1;
        return (codings == 0 || oneCoding)
                && isMethodSound(packet.getMethod().getMethodString(), codings > 0 || hasLength);
    }

    /** The codec reads no body of a TRACE, and reads all that follows a CONNECT as its body. */
    private static boolean isMethodSound(String method, boolean hasBody) {
        return isToken(method) && !method.equals("CONNECT") && !(method.equals("TRACE") && hasBody);
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && TOKEN.matchesAllOf(text);
    }
}
