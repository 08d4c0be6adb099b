package org.ebonyrun.ports.http;

import com.google.common.base.CharMatcher;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Checks that every recipient of a request determines the same end of the request, which prevents
 * request smuggling.
 *
 * <p>The codec ignores headers with an unknown name and transfer codings that it does not support,
 * and then parses the body as further requests. Such a request cannot be separated from the bytes
 * that follow it. Stateless and thread safe.
 */
final class RequestFraming {
    // RFC 9110, section 5.6.2.
    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();

    private RequestFraming() {}

    /** Returns whether a request whose head was parsed has exactly one possible end. */
    static boolean isUnambiguous(HttpRequestPacket packet) {
        Protocol protocol = packet.getProtocol();
        if (protocol != Protocol.HTTP_1_1 && protocol != Protocol.HTTP_1_0) {
            return false;
        }
        int transferCodings = 0;
        boolean hasLength = false;
        MimeHeaders headers = packet.getHeaders();
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.getName(i).toString();
            if (!isToken(name)) {
                return false;
            }
            if (name.equalsIgnoreCase("Transfer-Encoding")) {
                transferCodings++;
                if (!headers.getValue(i).toString().equalsIgnoreCase("chunked")) {
                    return false;
                }
            }
            hasLength |= name.equalsIgnoreCase("Content-Length");
        }
        boolean singleCoding = transferCodings == 1 && !hasLength && protocol == Protocol.HTTP_1_1;
        return (transferCodings == 0 || singleCoding)
                && isMethodUnambiguous(
                        packet.getMethod().getMethodString(), transferCodings > 0 || hasLength);
    }

    /** The codec reads no body of a TRACE, and reads everything after a CONNECT as its body. */
    private static boolean isMethodUnambiguous(String method, boolean hasBody) {
        return isToken(method) && !method.equals("CONNECT") && !(method.equals("TRACE") && hasBody);
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && TOKEN.matchesAllOf(text);
    }
}
