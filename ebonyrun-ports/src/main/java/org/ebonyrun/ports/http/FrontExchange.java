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
 * <p>Thread safe: state changes hold the exchange's monitor. A response that was begun and can't be
 * finished is cut by closing the connection, so that it never looks complete.
 *
 * <p>The framing of a response is this class's alone: headers of the response don't change it, and
 * a response that can't be sent in pieces is kept until its end is known. A status that ends no
 * request is replaced by 502.
 */
public final class FrontExchange {
    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int RESET_CONTENT = 205;
    private static final int NOT_MODIFIED = 304;
    private static final int BAD_GATEWAY = 502;
    private static final byte[] NOTHING = new byte[0];

    /** A response that is sent whole, though it arrives in pieces. */
    private record Held(int status, HttpHeaders headers, ByteArrayOutputStream body) {}

    private final HttpRequestPacket mPacket;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final FrontConnection mConnection;
    private final boolean mKeepAlive;
    private final int mRefusal;
    private @Nullable HttpResponsePacket mResponse;
    private @Nullable Held mHeld;
    private boolean mDone;
    private boolean mClosing;

    FrontExchange(
            HttpRequestPacket packet,
            HttpHeaders headers,
            byte[] body,
            FrontConnection connection,
            boolean keepAlive,
            int refusal) {
        mPacket = packet;
        mHeaders = headers;
        mBody = body;
        mConnection = connection;
        mKeepAlive = keepAlive;
        mRefusal = refusal;
    }

    /** Returns whether the request is answered by the server itself, with a refusal. */
    boolean isRefused() {
        return mRefusal != 0;
    }

    /** Sends the refusal. */
    void sendRefusal() {
        respond(mRefusal, HttpHeaders.empty(), NOTHING);
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
        mClosing = true;
    }

    /** Sends a whole response; does nothing if one was sent or the caller left. */
    public void respond(int status, HttpHeaders headers, byte[] body) {
        if (isFinal(status)) {
            respondWhole(status, headers, body);
        } else {
            respondWhole(BAD_GATEWAY, HttpHeaders.empty(), NOTHING);
        }
    }

    private void respondWhole(int status, HttpHeaders headers, byte[] body) {
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

    /** Sends the head of a response whose body follows in pieces. */
    public void begin(int status, HttpHeaders headers) {
        if (!isFinal(status)) {
            respond(status, headers, NOTHING);
            return;
        }
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || isBegun()) {
                return;
            }
            if (!canBeSentInPieces(status)) {
                mHeld = new Held(status, headers, new ByteArrayOutputStream());
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
            if (mHeld != null) {
                mHeld.body().writeBytes(piece);
                return;
            }
            response = mResponse;
        }
        write(response, piece, false);
    }

    /** Ends a response that was sent in pieces. */
    public void finish() {
        HttpResponsePacket response;
        Held held;
        synchronized (this) {
            if (mDone || !isBegun()) {
                return;
            }
            held = mHeld;
            mHeld = null;
            response = mResponse;
            mDone = held == null;
        }
        if (held == null) {
            write(response, NOTHING, true);
        } else {
            respondWhole(held.status(), held.headers(), held.body().toByteArray());
        }
    }

    /** Closes the connection without an end of the response. */
    public void abort() {
        synchronized (this) {
            mDone = true;
        }
        mConnection.close();
    }

    /** Returns whether a response was begun. */
    public synchronized boolean isBegun() {
        return mResponse != null || mHeld != null;
    }

    /** Marks the exchange as over; returns whether a response was still owed. */
    synchronized boolean abandon() {
        boolean owed = !mDone;
        mDone = true;
        return owed;
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

    private boolean canBeSentInPieces(int status) {
        return mPacket.getProtocol() == Protocol.HTTP_1_1
                && !method().equals("HEAD")
                && status != NO_CONTENT
                && status != RESET_CONTENT
                && status != NOT_MODIFIED;
    }

    private boolean isLast() {
        return mClosing || !mKeepAlive || mConnection.isClosing();
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
