package org.ebonyrun.ports.http;

import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.http.util.RequestURIRef;

/** Prepares requests that the codec has parsed to be held. Stateless and thread safe. */
final class ParsedRequests {
    private ParsedRequests() {}

    /**
     * Copies the parts of a complete request that still refer to the buffer from which they were
     * parsed. A request would otherwise hold all that was read with it, up to the size of a read,
     * which no claim covers.
     */
    static void detach(HttpRequestPacket packet) {
        MimeHeaders headers = packet.getHeaders();
        for (int i = 0; i < headers.size(); i++) {
            detach(headers.getName(i));
            detach(headers.getValue(i));
        }
        RequestURIRef uri = packet.getRequestURIRef();
        detach(uri.getRequestURIBC());
        detach(uri.getOriginalRequestURIBC());
        detach(packet.getQueryStringDC());
        detach(packet.getMethodDC());
        detach(packet.getProtocolDC());
        detach(packet.getUpgradeDC());
    }

    private static void detach(DataChunk chunk) {
        if (!chunk.isNull()) {
            String text = chunk.toString();
            chunk.recycle();
            chunk.setString(text);
        }
    }
}
