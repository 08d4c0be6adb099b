package org.ebonyrun.ports.http;

import java.net.SocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.Writeable;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and the response to it.
 *
 * <p>Thread safe: state changes hold the exchange's monitor. A response that was begun and can't be
 * finished is cut by closing the connection, so that it never looks complete.
 */
public final class FrontExchange {
    private final HttpRequestPacket mPacket;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final FrontConnection mConnection;
    private final boolean mKeepAlive;
    private final int mRefusal;
    private @Nullable HttpResponsePacket mResponse;
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
    void refuse() {
        respond(mRefusal, HttpHeaders.empty(), new byte[0]);
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
    public synchronized void closeAfter() {
        mClosing = true;
    }

    /** Sends a whole response; does nothing if one was sent or the caller left. */
    public void respond(int status, HttpHeaders headers, byte[] body) {
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || mResponse != null) {
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
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || mResponse != null) {
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
            if (mDone || mResponse == null) {
                return;
            }
            response = mResponse;
        }
        write(response, piece, false);
    }

    /** Ends a response that was sent in pieces. */
    public void finish() {
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || mResponse == null) {
                return;
            }
            mDone = true;
            response = mResponse;
        }
        write(response, new byte[0], true);
    }

    /** Closes the connection without an end of the response. */
    public void abort() {
        synchronized (this) {
            mDone = true;
        }
        mConnection.close();
    }

    /** Returns whether the head of a response was sent. */
    public synchronized boolean isBegun() {
        return mResponse != null;
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
        headers.forEach(response::addHeader);
        if (isLast()) {
            response.setHeader("Connection", "close");
        }
        return response;
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
                                    mConnection.onResponded(isLast());
                                }
                            }

                            @Override
                            public void failed(Throwable cause) {
                                mConnection.close();
                            }
                        });
    }
}
