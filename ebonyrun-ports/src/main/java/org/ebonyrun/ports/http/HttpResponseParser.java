package org.ebonyrun.ports.http;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;

/**
 * Parses any number of responses to a request. If bytes arrive while no request is pending, closes
 * the connection before any of them are buffered as the start of the next response.
 *
 * <p>The superclass pairs each response with a request that was written, and fails on additional
 * responses; this class pairs those with a substitute request. The superclass calls this filter
 * again for bytes that arrived together with the end of a response.
 *
 * <p>Thread safe: the only state is in connection attributes.
 */
final class HttpResponseParser extends HttpClientFilter {
    private final DroppedResponseListener mListener;

    HttpResponseParser(DroppedResponseListener listener) {
        mListener = listener;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        ClientConnection connection = ClientConnection.of(ctx.getConnection());
        if (connection == null) {
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        return connection.exchangeOrClose(mListener) == null
                ? ctx.getStopAction()
                : super.handleRead(ctx);
    }

    @Override
    protected void onInitialLineParsed(HttpHeader header, FilterChainContext ctx) {
        super.onInitialLineParsed(header, ctx);
        HttpResponsePacket response = (HttpResponsePacket) header;
        if (response.getRequest() == null) {
            response.setRequest(substituteRequest(ctx));
        }
    }

    @Override
    protected void onIncomingUpgrade(FilterChainContext ctx, HttpHeader header) {
        UpgradeOffer.ignore(header);
    }

    /** Returns a substitute request, which only determines the framing of the response. */
    private static HttpRequestPacket substituteRequest(FilterChainContext ctx) {
        HttpExchange exchange = ClientConnection.exchangeOn(ctx.getConnection());
        return HttpRequestPacket.builder()
                .method(exchange == null ? "GET" : exchange.method())
                .uri("/")
                .protocol(Protocol.HTTP_1_1)
                .host("")
                .build();
    }
}
