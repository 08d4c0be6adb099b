package org.ebonyrun.ports.http;

import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Checks that every recipient of a request determines the same end of the request, which prevents
 * request smuggling.
 *
 * <p>The codec ignores headers with an unknown name and transfer codings that it does not support,
 * and then parses the body as further requests. Such a request cannot be separated from the bytes
 * that follow it. It also accepts line ends in values and spaces in targets, which an endpoint may
 * take for the end of a header or of the request line. Stateless and thread safe.
 */
final class RequestFraming {
    private RequestFraming() {}

    /** Returns whether a request whose head was parsed has exactly one possible end. */
    static boolean isUnambiguous(HttpRequestPacket packet) {
        Protocol protocol = packet.getProtocol();
        if (protocol != Protocol.HTTP_1_1 && protocol != Protocol.HTTP_1_0) {
            return false;
        }
        String query = packet.getQueryString();
        if (!HeaderSyntax.isTarget(packet.getRequestURI())
                || (query != null && !query.isEmpty() && !HeaderSyntax.isTarget(query))) {
            return false;
        }
        int transferCodings = 0;
        boolean hasLength = false;
        MimeHeaders headers = packet.getHeaders();
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.getName(i).toString();
            if (!HeaderSyntax.isToken(name)
                    || !HeaderSyntax.isValue(headers.getValue(i).toString())) {
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
        return HeaderSyntax.isToken(method)
                && !method.equals("CONNECT")
                && !(method.equals("TRACE") && hasBody);
    }
}
