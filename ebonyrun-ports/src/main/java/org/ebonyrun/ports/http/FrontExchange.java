package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.net.SocketAddress;
import java.util.function.IntConsumer;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
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

    // Pieces of this size show the progress of a caller that reads slowly.
    private static final int MAX_PIECE_BYTES = 16 * 1024;
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    // The buffer grows by doubling, and is copied at the end.
    private static final long BUFFERED_COST = 3;
    private static final IntConsumer IGNORE = bytes -> {};

    // The codec's request is not kept: it holds the read that it was parsed from, and 8 KB of
    // objects.
    private final RequestLine mLine;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final FrontConnection mConnection;
    private final boolean mKeepAlive;
    private final int mRefusalStatus;
    private final HttpHeaders mRefusalHeaders;
    private final MemoryClaim mRequestMemory;
    private final MemoryClaim mResponseMemory;
    private @Nullable HttpResponsePacket mResponse;
    private @Nullable BufferedResponse mBuffered;
    private IntConsumer mWrittenListener = IGNORE;
    private boolean mDone;
    private boolean mReserved;
    private boolean mReleased;
    private boolean mCloseAfterResponse;
    // Whether the head said that the connection is closed after this response.
    private volatile boolean mLast;

    private FrontExchange(
            RequestLine line,
            HttpHeaders headers,
            byte[] body,
            FrontConnection connection,
            boolean keepAlive,
            MemoryClaim memory,
            int refusalStatus,
            HttpHeaders refusalHeaders) {
        mLine = line;
        mHeaders = headers;
        mBody = body;
        mConnection = connection;
        mKeepAlive = keepAlive;
        mRequestMemory = memory;
        mResponseMemory = memory.account().open(MemoryClass.RESPONSE);
        mRefusalStatus = refusalStatus;
        mRefusalHeaders = refusalHeaders;
    }

    /**
     * Creates an exchange.
     *
     * @param memory the claim of the request, which the exchange holds from now on
     */
    FrontExchange(
            RequestLine line,
            HttpHeaders headers,
            byte[] body,
            FrontConnection connection,
            boolean keepAlive,
            MemoryClaim memory) {
        this(line, headers, body, connection, keepAlive, memory, 0, HttpHeaders.empty());
    }

    /** Creates an exchange whose request the server refuses, and whose connection it closes. */
    static FrontExchange refusal(FrontConnection connection, int status, HttpHeaders headers) {
        MemoryClaim none = MemoryAccount.unlimited().open(MemoryClass.REQUEST);
        return new FrontExchange(
                RequestLine.UNREADABLE,
                HttpHeaders.empty(),
                EMPTY,
                connection,
                false,
                none,
                status,
                headers);
    }

    /**
     * Returns the claim that covers the request. Whoever uses the body after the caller has
     * disconnected, or the response was sent, must retain it.
     */
    public MemoryClaim memory() {
        return mRequestMemory;
    }

    /**
     * Claims memory for a response that may be refused instead; returns whether there is any. For
     * other responses, memory is taken in any case.
     */
    public synchronized boolean reserveResponse(int bytes) {
        if (!mReleased && !mReserved) {
            mReserved = mResponseMemory.tryGrow(bytes);
            return mReserved;
        }
        return true;
    }

    /** Gives the memory back; called once, when the exchange has ended. */
    synchronized void releaseMemory() {
        mReleased = true;
        mRequestMemory.release();
        mResponseMemory.release();
    }

    /** Returns whether the server itself refuses the request, without the listener. */
    boolean isRefused() {
        return mRefusalStatus != 0;
    }

    /** Sends the refusal. */
    void sendRefusal() {
        respond(mRefusalStatus, mRefusalHeaders, EMPTY);
    }

    /** Returns the method. */
    public String method() {
        return mLine.method();
    }

    /** Returns the path and query as they were sent. */
    public String target() {
        return mLine.target();
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
            if (!mReserved && !mReleased) {
                mResponseMemory.grow(body.length);
            }
            response = head(status, headers);
            mResponse = response;
        }
        response.setContentLength(body.length);
        write(response, body, true);
    }

    /** Begins a response whose body follows in pieces. */
    public void begin(int status, HttpHeaders headers) {
        begin(status, headers, IGNORE);
    }

    /**
     * Begins a response whose body follows in pieces.
     *
     * @param writtenListener receives the number of bytes of the body that were written to the
     *     network, or dropped, since its last call; on any thread
     */
    public void begin(int status, HttpHeaders headers, IntConsumer writtenListener) {
        if (!isFinal(status)) {
            respond(status, headers, EMPTY);
            return;
        }
        HttpResponsePacket response;
        synchronized (this) {
            if (mDone || isBegun()) {
                return;
            }
            mWrittenListener = writtenListener;
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
        IntConsumer writtenListener;
        boolean tooLong = false;
        synchronized (this) {
            response = mDone ? null : mResponse;
            writtenListener = mWrittenListener;
            if (!mDone && mBuffered != null) {
                tooLong =
                        mBuffered.body().size() + piece.length > MAX_BUFFERED_BYTES
                                || !mReleased
                                        && !mResponseMemory.tryGrow(BUFFERED_COST * piece.length);
                mBuffered.body().writeBytes(tooLong ? EMPTY : piece);
            }
        }
        // An empty piece would be encoded as the end of the body.
        if (response != null && piece.length > 0) {
            write(response, piece, false);
        } else {
            writtenListener.accept(piece.length);
        }
        if (tooLong) {
            abort();
        }
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

    /** Returns whether the response is complete or can't be sent any more. */
    public synchronized boolean isEnded() {
        return mDone;
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

    /** Creates a response from what the codec needs to know of its request. */
    private HttpResponsePacket newResponse() {
        HttpRequestPacket request =
                HttpRequestPacket.builder()
                        .method(mLine.method())
                        .uri("/")
                        .protocol(mLine.protocol())
                        .host("")
                        .build();
        request.setConnection(mConnection.connection());
        return HttpResponsePacket.builder(request).protocol(Protocol.HTTP_1_1).build();
    }

    private HttpResponsePacket head(int status, HttpHeaders headers) {
        HttpResponsePacket response = newResponse();
        response.setStatus(status);
        headers.endToEnd().forEach(response::addHeader);
        mLast = mConnection.closeAfterResponse(mCloseAfterResponse || !mKeepAlive);
        if (mLast) {
            response.setHeader("Connection", "close");
        }
        return response;
    }

    private static boolean isFinal(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
    }

    private boolean canBeChunked(int status) {
        return mLine.protocol() == Protocol.HTTP_1_1
                && !method().equals("HEAD")
                && status != NO_CONTENT
                && status != RESET_CONTENT
                && status != NOT_MODIFIED;
    }

    /**
     * Returns whether the connection closes after this response, whether or not its head said so.
     */
    private boolean isLast() {
        return mConnection.closeAfterResponse(mLast || mCloseAfterResponse);
    }

    private void write(HttpResponsePacket response, byte[] body, boolean last) {
        int offset = 0;
        do {
            int length = Math.min(MAX_PIECE_BYTES, body.length - offset);
            boolean lastPiece = offset + length == body.length;
            writePiece(response, body, offset, length, last && lastPiece);
            offset += length;
        } while (offset < body.length);
    }

    private synchronized IntConsumer writtenListener() {
        return mWrittenListener;
    }

    @SuppressWarnings("unchecked")
    private void writePiece(
            HttpResponsePacket response, byte[] body, int offset, int length, boolean last) {
        Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body, offset, length);
        HttpContent content = HttpContent.builder(response).content(buffer).last(last).build();
        Connection<?> connection = mConnection.connection();
        mConnection.onWriteStarted(length, System.nanoTime());
        ((Writeable<SocketAddress>) connection)
                .write(
                        content,
                        new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                            @Override
                            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                                mConnection.onWritten(length, System.nanoTime());
                                writtenListener().accept(length);
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
