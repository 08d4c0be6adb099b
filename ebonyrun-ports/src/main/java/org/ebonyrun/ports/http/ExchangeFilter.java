package org.ebonyrun.ports.http;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

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
            exchange.head(head.getStatus());
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            exchange.data(data);
        }
        if (content.isLast()) {
            exchange.end(head.getProcessingState().isKeepAlive());
        }
        return ctx.getStopAction();
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
