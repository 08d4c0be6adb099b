package org.ebonyrun.ports.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.regex.Pattern;
import org.ebonyrun.ports.http.DroppedResponse.Reason;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Hands the pieces of a response to the exchange that owns the connection.
 *
 * <p>Thread safe: the only state is in {@link ClientConnection}.
 */
final class ExchangeFilter extends BaseFilter {
    // Without its first character, which the parser may take for the space after a status.
    private static final Pattern STATUS_LINE =
            Pattern.compile("ttp/1\\.[01] +[1-5][0-9]{2}", Pattern.CASE_INSENSITIVE);

    private final DroppedResponseListener mObserver;

    ExchangeFilter(DroppedResponseListener observer) {
        mObserver = observer;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        HttpContent content = ctx.getMessage();
        Connection<?> connection = ctx.getConnection();
        ClientConnection wrapped = ClientConnection.of(connection);
        HttpExchange exchange = wrapped == null ? null : wrapped.exchangeOrClose(mObserver);
        if (wrapped == null || exchange == null) {
            return ctx.getStopAction();
        }
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        if (wrapped.markHeadSeen()) {
            if (!wrapped.isUnambiguous() && isJoined(head)) {
                exchange.fail("protocol: the head of an answer in that of another");
            } else {
                beginAnswer(wrapped, exchange, head(head));
            }
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining() && !wrapped.isSkipping()) {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            exchange.onData(data);
        }
        if (content.isLast()) {
            if (wrapped.isSkipping()) {
                endOfSkipped(wrapped, exchange, head);
            } else {
                endOfBody(connection, exchange, head);
            }
        }
        return ctx.getStopAction();
    }

    /**
     * Returns whether a head was cut and goes on with that of the next answer: the parser takes
     * lines that are no headers for parts of one.
     */
    private static boolean isJoined(HttpResponsePacket packet) {
        MimeHeaders headers = packet.getHeaders();
        boolean joined = holdsStatusLine(packet.getReasonPhraseRawDC());
        for (int i = 0; i < headers.size() && !joined; i++) {
            joined = holdsStatusLine(headers.getName(i)) || holdsStatusLine(headers.getValue(i));
        }
        return joined;
    }

    private static boolean holdsStatusLine(DataChunk text) {
        return !text.isNull() && STATUS_LINE.matcher(text.toString()).find();
    }

    /** Passes a head on if it begins the answer to the exchange's own request. */
    private void beginAnswer(
            ClientConnection connection, HttpExchange exchange, HttpResponseHead head) {
        String asked = exchange.correlation().id();
        switch (exchange.correlation().match(head)) {
            case OWN -> exchange.onHead(head);
            case OTHER -> {
                boolean waits = connection.skipResponse();
                mObserver.onDroppedResponse(
                        connection.describeDropped(asked, Reason.OTHER_REQUEST, head));
                if (!waits) {
                    exchange.fail("too many answers to other requests");
                }
            }
            case UNNAMED -> {
                if (connection.isUnambiguous()) {
                    connection.markAmbiguous();
                    exchange.onHead(head);
                } else {
                    mObserver.onDroppedResponse(
                            connection.describeDropped(asked, Reason.UNNAMED, head));
                    exchange.fail("the answer names no request");
                }
            }
            default -> throw new IllegalStateException("no owner of an answer");
        }
    }

    /** Goes on to the next answer, which may be that to the exchange's own request. */
    private static void endOfSkipped(
            ClientConnection connection, HttpExchange exchange, HttpResponsePacket head) {
        boolean ends = isFramed(head) || !head.isExpectContent();
        if (ends && head.getProcessingState().isKeepAlive()) {
            connection.finishSkippedResponse();
        } else {
            exchange.fail("the connection ended with the answer to another request");
        }
    }

    private static HttpResponseHead head(HttpResponsePacket packet) {
        HttpHeaders.Builder headers = HttpHeaders.builder();
        MimeHeaders raw = packet.getHeaders();
        for (int i = 0; i < raw.size(); i++) {
            headers.add(raw.getName(i).toString(), raw.getValue(i).toString());
        }
        return new HttpResponseHead(packet.getStatus(), headers.build(), isFramed(packet));
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
        exchange.complete(isFramed(head) && head.getProcessingState().isKeepAlive());
    }

    private static boolean isOrderlyClose(Connection<?> connection) {
        CloseReason reason = connection.getCloseReason();
        return reason != null && reason.getCause() instanceof EOFException;
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        HttpExchange exchange = ClientConnection.exchangeOn(ctx.getConnection());
        if (exchange != null) {
            exchange.fail("protocol: " + error.getMessage());
        }
        ctx.getConnection().closeSilently();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) throws IOException {
        HttpExchange exchange = ClientConnection.exchangeOn(ctx.getConnection());
        if (exchange != null) {
            exchange.fail("connection closed");
        }
        return ctx.getInvokeAction();
    }
}
