package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.net.SocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.Writeable;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and the response to it.
 *
 * <p>Thread safe: state changes hold the exchange's monitor. If a response that was begun cannot be
 * finished, the connection is closed, so that a truncated response never looks complete.
 *
 * <p>This class alone determines the framing of a response: response headers do not change it, and
 * a response that cannot be sent in chunks is buffered until it is complete. A status that is not
 * final, such as 100, or is out of range is replaced by 502.
 */
public final class FrontExchange {
    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int RESET_CONTENT = 205;
    private static final int NOT_MODIFIED = 304;
    private static final int BAD_GATEWAY = 502;
    private static final byte[] EMPTY = new byte[0];

    /** A response that is produced in pieces but sent at once when it is complete. */
    private record BufferedResponse(int status, HttpHeaders headers, ByteArrayOutputStream body) {}

    private final HttpRequestPacket mPacket;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final FrontConnection mConnection;
    private final boolean mKeepAlive;
    private final int mRefusalStatus;
    private @Nullable HttpResponsePacket mResponse;
    private @Nullable BufferedResponse mBuffered;
    private boolean mDone;
    private boolean mCloseAfterResponse;

    FrontExchange(
            HttpRequestPacket packet,
            HttpHeaders headers,
            byte[] body,
            FrontConnection connection,
            boolean keepAlive,
            int refusalStatus) {
        mPacket = packet;
        mHeaders = headers;
        mBody = body;
        mConnection = connection;
        mKeepAlive = keepAlive;
        mRefusalStatus = refusalStatus;
    }

    /** Returns whether the server itself refuses the request, without the listener. */
    boolean isRefused() {
        return mRefusalStatus != 0;
    }

    /** Sends the refusal. */
    void sendRefusal() {
        respond(mRefusalStatus, HttpHeaders.empty(), EMPTY);
    }

    /** Returns the method. */
    public String method() {
        return mPacket.getMethod().getMethodString();
    }

    /** Returns the path and query as they were sent. */
    public String target() {
        String query = mPacket.getQueryString();
        return query == null ? mPacket.getRequestURI() : mPacket.getRequestURI() + "?" + query;
    }

    /** Returns the headers. */
    public HttpHeaders headers() {
        return mHeaders;
    }

    /** Returns the body; it must not be changed. */
    public byte[] body() {
        return mBody;
    }

    /** Makes this the last response on its connection. */
    public synchronized void closeAfterResponse() {
        mCloseAfterResponse = true;
    }

    /** Sends a complete response; does nothing if one was begun or the caller has disconnected. */
    public void respond(int status, HttpHeaders headers, byte[] body) {
        if (isFinal(status)) {
            respondComplete(status, headers, body);
        } else {
            respondComplete(BAD_GATEWAY, HttpHeaders.empty(), EMPTY);
        }
    }

    private void respondComplete(int status, HttpHeaders headers, byte[] body) {
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || isBegun()) {
                return;
            }
            mDone = true;
            response = head(status, headers);
            mResponse = response;
        }
        response.setContentLength(body.length);
        write(response, body, true);
    }

    /** Begins a response whose body follows in pieces. */
    public void begin(int status, HttpHeaders headers) {
        if (!isFinal(status)) {
            respond(status, headers, EMPTY);
            return;
        }
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || isBegun()) {
                return;
            }
            if (!canBeChunked(status)) {
                mBuffered = new BufferedResponse(status, headers, new ByteArrayOutputStream());
                return;
            }
            response = head(status, headers);
            mResponse = response;
        }
        response.setChunked(true);
    }

    /** Sends a piece of the body. */
    public void write(byte[] piece) {
        HttpResponsePacket response;
        synchronized (this) {
            // An empty piece would be encoded as the end of the body.
            if (mDone || !isBegun() || piece.length == 0) {
                return;
            }
            if (mBuffered != null) {
                mBuffered.body().writeBytes(piece);
                return;
            }
            response = mResponse;
        }
        write(response, piece, false);
    }

    /** Finishes a response whose body was sent in pieces. */
    public void finish() {
        HttpResponsePacket response;
        BufferedResponse buffered;
        synchronized (this) {
            if (mDone || !isBegun()) {
                return;
            }
            buffered = mBuffered;
            mBuffered = null;
            response = mResponse;
            mDone = buffered == null;
        }
        if (buffered == null) {
            write(response, EMPTY, true);
        } else {
            respondComplete(buffered.status(), buffered.headers(), buffered.body().toByteArray());
        }
    }

    /** Closes the connection without finishing the response. */
    public void abort() {
        synchronized (this) {
            mDone = true;
        }
        mConnection.close();
    }

    /** Returns whether a response was begun. */
    public synchronized boolean isBegun() {
        return mResponse != null || mBuffered != null;
    }

    /** Marks the exchange as done; returns whether its response was still incomplete. */
    synchronized boolean abandon() {
        boolean incomplete = !mDone;
        mDone = true;
        return incomplete;
    }

    private HttpResponsePacket head(int status, HttpHeaders headers) {
        HttpResponsePacket response = mPacket.getResponse();
        response.setStatus(status);
        headers.endToEnd().forEach(response::addHeader);
        if (isLast()) {
            response.setHeader("Connection", "close");
        }
        return response;
    }

    private static boolean isFinal(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
    }

    private boolean canBeChunked(int status) {
        return mPacket.getProtocol() == Protocol.HTTP_1_1
                && !method().equals("HEAD")
                && status != NO_CONTENT
                && status != RESET_CONTENT
                && status != NOT_MODIFIED;
    }

    private boolean isLast() {
        return mCloseAfterResponse || !mKeepAlive || mConnection.isClosing();
    }

    @SuppressWarnings("unchecked")
    private void write(HttpResponsePacket response, byte[] piece, boolean last) {
        Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, piece);
        HttpContent content = HttpContent.builder(response).content(buffer).last(last).build();
        Connection<?> connection = mConnection.connection();
        ((Writeable<SocketAddress>) connection)
                .write(
                        content,
                        new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                            @Override
                            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                                if (last) {
                                    mConnection.onResponseSent(isLast());
                                }
                            }

                            @Override
                            public void failed(Throwable cause) {
                                mConnection.close();
                            }
                        });
    }
}
