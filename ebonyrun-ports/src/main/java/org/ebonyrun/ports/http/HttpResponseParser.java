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
 * Parses any number of answers to a request, and closes a connection on which bytes arrive while no
 * request waits, before any of them are kept for the next answer.
 *
 * <p>The filter that it extends pairs each answer with a request that was written, and fails on an
 * answer beyond those. It is called again for what came with the end of an answer.
 *
 * <p>Thread safe: the only state is in connection attributes.
 */
final class HttpResponseParser extends HttpClientFilter {
    private final DroppedResponseListener mObserver;

    HttpResponseParser(DroppedResponseListener observer) {
        mObserver = observer;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        ClientConnection connection = ClientConnection.of(ctx.getConnection());
        if (connection == null) {
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        return connection.exchangeOrClose(mObserver) == null
                ? ctx.getStopAction()
                : super.handleRead(ctx);
    }

    @Override
    protected void onInitialLineParsed(HttpHeader header, FilterChainContext ctx) {
        super.onInitialLineParsed(header, ctx);
        HttpResponsePacket response = (HttpResponsePacket) header;
        if (response.getRequest() == null) {
            response.setRequest(request(ctx));
        }
    }

    /** Returns a request on which only the framing of its answer depends. */
    private static HttpRequestPacket request(FilterChainContext ctx) {
        HttpExchange exchange = ClientConnection.exchangeOn(ctx.getConnection());
        return HttpRequestPacket.builder()
                .method(exchange == null ? "GET" : exchange.method())
                .uri("/")
                .protocol(Protocol.HTTP_1_1)
                .host("")
                .build();
    }
}
