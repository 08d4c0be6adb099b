package org.ebonyrun.ports.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.function.IntFunction;
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
import org.glassfish.grizzly.http.util.BufferChunk;
import org.glassfish.grizzly.http.util.ByteChunk;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Passes the parts of a response to the exchange that is bound to the connection.
 *
 * <p>Thread safe: the only state is in {@link ClientConnection}.
 */
final class ExchangeFilter extends BaseFilter {
    // Lacks the first character, which the parser may consume as the space after a status code.
    private static final Pattern STATUS_LINE =
            Pattern.compile("ttp/1\\.[01] +[1-5][0-9]{2}", Pattern.CASE_INSENSITIVE);

    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;
    private static final int STATUS_DIGITS = 3;

    private final DroppedResponseListener mListener;

    ExchangeFilter(DroppedResponseListener listener) {
        mListener = listener;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        HttpContent content = ctx.getMessage();
        Connection<?> connection = ctx.getConnection();
        ClientConnection state = ClientConnection.of(connection);
        HttpExchange exchange = state == null ? null : state.exchangeOrClose(mListener);
        if (state == null || exchange == null) {
            return ctx.getStopAction();
        }
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        if (state.markHeadSeen()) {
            if (!state.isUnambiguous() && containsNextHead(head)) {
                exchange.fail("protocol: a response head contains the head of another response");
            } else if (!hasFinalStatus(head)) {
                exchange.fail("protocol: a response has no final status of HTTP");
            } else if (!isWellFormed(head)) {
                exchange.fail("protocol: a response head contains a malformed header");
            } else {
                beginResponse(state, exchange, responseHead(head));
            }
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining() && !state.isSkipping()) {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            exchange.onData(data);
        }
        if (content.isLast()) {
            if (state.isSkipping()) {
                finishSkipped(state, exchange, head);
            } else {
                finishResponse(connection, exchange, head);
            }
        }
        return ctx.getStopAction();
    }

    /**
     * Returns whether a head was truncated and continues with the head of the next response. The
     * parser accepts lines that are not headers as parts of a header.
     */
    private static boolean containsNextHead(HttpResponsePacket packet) {
        MimeHeaders headers = packet.getHeaders();
        boolean found = containsStatusLine(packet.getReasonPhraseRawDC());
        for (int i = 0; i < headers.size() && !found; i++) {
            found =
                    containsStatusLine(headers.getName(i))
                            || containsStatusLine(headers.getValue(i));
        }
        return found;
    }

    /**
     * Returns whether a head has the status of a final response. Requests expect no interim
     * response, and a status outside HTTP's range comes from a server in trouble.
     */
    private static boolean hasFinalStatus(HttpResponsePacket packet) {
        int status = packet.getStatus();
        boolean inRange = status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
        return inRange && statusDigits(packet.getReasonPhraseRawDC()) == STATUS_DIGITS;
    }

    /**
     * Returns the length of the status before a reason phrase. The parser reads three digits and
     * takes the next character for a space, whatever it is.
     */
    private static int statusDigits(DataChunk reason) {
        return switch (reason.getType()) {
            case Buffer -> {
                BufferChunk chunk = reason.getBufferChunk();
                yield lastWordLength(chunk.getBuffer()::get, chunk.getStart());
            }
            case Bytes -> {
                ByteChunk chunk = reason.getByteChunk();
                yield lastWordLength(index -> chunk.getBuffer()[index], chunk.getStart());
            }
            default -> STATUS_DIGITS;
        };
    }

    private static int lastWordLength(IntFunction<Byte> text, int end) {
        int wordEnd = end;
        while (wordEnd > 0 && text.apply(wordEnd - 1) <= ' ') {
            wordEnd--;
        }
        int begin = wordEnd;
        while (begin > 0 && text.apply(begin - 1) > ' ') {
            begin--;
        }
        return wordEnd - begin;
    }

    /** Returns whether the headers can be passed on to a caller. */
    private static boolean isWellFormed(HttpResponsePacket packet) {
        MimeHeaders headers = packet.getHeaders();
        for (int i = 0; i < headers.size(); i++) {
            if (!HeaderSyntax.isToken(headers.getName(i).toString())
                    || !HeaderSyntax.isValue(headers.getValue(i).toString())) {
                return false;
            }
        }
        return true;
    }

    private static boolean containsStatusLine(DataChunk text) {
        return !text.isNull() && STATUS_LINE.matcher(text.toString()).find();
    }

    /** Passes a head to the exchange if it begins the response to the exchange's request. */
    private void beginResponse(
            ClientConnection connection, HttpExchange exchange, HttpResponseHead head) {
        String awaitedId = exchange.correlation().id();
        switch (exchange.correlation().match(head)) {
            case OWN -> exchange.onHead(head);
            case OTHER -> {
                boolean withinLimit = connection.skipResponse();
                mListener.onDroppedResponse(
                        connection.describeDropped(awaitedId, Reason.OTHER_REQUEST, head));
                if (!withinLimit) {
                    exchange.fail("too many responses to other requests");
                }
            }
            case UNNAMED -> {
                if (connection.isUnambiguous()) {
                    connection.markAmbiguous();
                    exchange.onHead(head);
                } else {
                    mListener.onDroppedResponse(
                            connection.describeDropped(awaitedId, Reason.UNNAMED, head));
                    exchange.fail("the response carries no request ID");
                }
            }
            default -> throw new IllegalStateException("unexpected correlation result");
        }
    }

    /** Finishes a skipped response; the next one may belong to the exchange's request. */
    private static void finishSkipped(
            ClientConnection connection, HttpExchange exchange, HttpResponsePacket head) {
        boolean hasEnd = isFramed(head) || !head.isExpectContent();
        if (hasEnd && head.getProcessingState().isKeepAlive()) {
            connection.finishSkippedResponse();
        } else {
            exchange.fail("the connection ended with a response to another request");
        }
    }

    private static HttpResponseHead responseHead(HttpResponsePacket packet) {
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
     * Ends the exchange. A body that is delimited by the close of its connection is complete only
     * if the server closed the connection in order; a reset may have truncated it.
     */
    private static void finishResponse(
            Connection<?> connection, HttpExchange exchange, HttpResponsePacket head) {
        if (!isFramed(head) && !connection.isOpen() && !isOrderlyClose(connection)) {
            exchange.fail("connection reset within a body of unknown length");
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
