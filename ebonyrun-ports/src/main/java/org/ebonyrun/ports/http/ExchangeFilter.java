package org.ebonyrun.ports.http;

import java.io.EOFException;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Hands the pieces of a response to the exchange that owns the connection.
 *
 * <p>Thread safe: the only state is in connection attributes.
 */
final class ExchangeFilter extends BaseFilter {
    private static final Attribute<HttpExchange> EXCHANGE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.exchange");
    private static final Attribute<Boolean> HEAD_SEEN =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.head");

    static void bind(Connection<?> connection, HttpExchange exchange) {
        HEAD_SEEN.set(connection, Boolean.FALSE);
        EXCHANGE.set(connection, exchange);
    }

    static void unbind(Connection<?> connection) {
        EXCHANGE.remove(connection);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        HttpContent content = ctx.getMessage();
        Connection<?> connection = ctx.getConnection();
        HttpExchange exchange = EXCHANGE.get(connection);
        if (exchange == null) {
            connection.closeSilently();
            return ctx.getStopAction();
        }
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        if (!Boolean.TRUE.equals(HEAD_SEEN.get(connection))) {
            HEAD_SEEN.set(connection, Boolean.TRUE);
            exchange.head(head(head));
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            exchange.data(data);
        }
        if (content.isLast()) {
            endOfBody(connection, exchange, head);
        }
        return ctx.getStopAction();
    }

    private static HttpHead head(HttpResponsePacket packet) {
        HttpHeaders.Builder headers = HttpHeaders.builder();
        MimeHeaders raw = packet.getHeaders();
        for (int i = 0; i < raw.size(); i++) {
            headers.add(raw.getName(i).toString(), raw.getValue(i).toString());
        }
        return new HttpHead(packet.getStatus(), headers.build(), isFramed(packet));
    }

    private static boolean isFramed(HttpResponsePacket packet) {
        return packet.isChunked() || packet.getContentLength() >= 0;
    }

    /**
     * Ends the exchange. A body that ends with its connection is whole only if the server closed
     * the connection in order; a reset may have cut it short.
     */
    private static void endOfBody(
            Connection<?> connection, HttpExchange exchange, HttpResponsePacket head) {
        if (!isFramed(head) && !connection.isOpen() && !isOrderlyClose(connection)) {
            exchange.fail("connection reset in a body without length");
            return;
        }
        exchange.end(isFramed(head) && head.getProcessingState().isKeepAlive());
    }

    private static boolean isOrderlyClose(Connection<?> connection) {
        CloseReason reason = connection.getCloseReason();
        return reason != null && reason.getCause() instanceof EOFException;
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        HttpExchange exchange = EXCHANGE.get(ctx.getConnection());
        if (exchange != null) {
            exchange.fail("protocol: " + error.getMessage());
        }
        ctx.getConnection().closeSilently();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) throws IOException {
        HttpExchange exchange = EXCHANGE.get(ctx.getConnection());
        if (exchange != null) {
            exchange.fail("connection closed");
        }
        return ctx.getInvokeAction();
    }
}
