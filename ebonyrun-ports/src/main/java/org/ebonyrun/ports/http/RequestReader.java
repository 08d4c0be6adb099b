package org.ebonyrun.ports.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.Supplier;
import org.ebonyrun.base.memory.BodyAdmission;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/**
 * Assembles the requests of one connection, and submits each to the connection once it is complete.
 *
 * <p>Invariant: memory is claimed before a body, or a part of it, is held. While there is none, the
 * connection is not read, except for what was read already. A request for which there is no memory
 * in time is refused before its body is read.
 *
 * <p>Thread safe: guarded by this object's monitor, which is always entered before that of the
 * connection.
 */
final class RequestReader {
    // The objects that represent a request, beside the bytes of its head and its body.
    private static final int REQUEST_OVERHEAD_BYTES = 2 * 1024;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int UNAVAILABLE = 503;
    private static final byte[] EMPTY = new byte[0];

    /** The requests that wait for memory or linger, over all connections of a server. */
    interface Waiting {
        /** Returns the number of waiting requests. */
        int count();

        /** Adds a connection, whose request waits until {@link #resume}. */
        void add(RequestReader reader);

        /**
         * Begins to read a refused request to its end, which holds what was read of it, if few
         * others are; each time until {@link #stopLingering}.
         */
        boolean tryLinger();

        /** Ends the reading of a refused request. */
        void stopLingering();
    }

    /** A request whose end has not been read yet. */
    private static final class Pending {
        final HttpRequestPacket mPacket;
        final HttpHeaders mHeaders;
        final MemoryClaim mClaim;
        final BodyBuffer mBody;
        // The size of the read in which the head ended, which is held until the request is
        // complete.
        final int mReadBytes;
        boolean mAdmitted;

        Pending(
                HttpRequestPacket packet,
                HttpHeaders headers,
                MemoryClaim claim,
                BodyBuffer body,
                int readBytes) {
            mPacket = packet;
            mHeaders = headers;
            mClaim = claim;
            mBody = body;
            mReadBytes = readBytes;
        }
    }

    /** What was read of a request while there was no memory for it. */
    private record Piece(HttpRequestPacket packet, byte[] bytes, boolean last) {}

    private final FrontConnection mConnection;
    private final FrontMemory mMemory;
    private final Supplier<FrontLimits> mLimits;
    private final Waiting mWaiting;
    private final Deque<Piece> mUnprocessed = new ArrayDeque<>();
    private @Nullable Pending mPending;
    // The refused request whose body is still being read.
    private @Nullable HttpRequestPacket mRefused;
    // The number of requests whose ends are among what is unprocessed.
    private int mUnprocessedEnds;
    // Whether requests were dropped, so that no later one may be processed.
    private boolean mIsCut;
    private long mWaitingSince;
    private boolean mIsWaiting;
    // Whether a refused request is read to its end.
    private boolean mLingers;
    private boolean mClosed;

    RequestReader(
            FrontConnection connection,
            FrontMemory memory,
            Supplier<FrontLimits> limits,
            Waiting waiting) {
        mConnection = connection;
        mMemory = memory;
        mLimits = limits;
        mWaiting = waiting;
    }

    /** Returns whether a chunked body is being read. */
    synchronized boolean isReadingChunks() {
        return mPending != null && mPending.mPacket.isChunked();
    }

    /** Refuses the request whose body is being read, for want of memory. */
    synchronized void refuseForMemory() {
        Pending pending = mPending;
        if (pending != null && !mClosed && !mIsWaiting) {
            refuseForMemory(pending, false, BodyAdmission.Decision.REFUSE);
        }
    }

    /** Returns whether the head of a request was read, and its end was not. */
    synchronized boolean isReading(HttpRequestPacket packet) {
        return mPending != null && mPending.mPacket == packet;
    }

    /**
     * Refuses the request whose body is being read, if lines that are no part of its content have
     * become too long.
     */
    synchronized void refuseLongLines() {
        Pending pending = mPending;
        if (pending != null && !mClosed && !mIsWaiting) {
            refuse(pending.mPacket, true, BAD_REQUEST);
        }
    }

    /**
     * Refuses a request that can't be parsed. The caller may still be sending it, and would lose
     * the refusal if the connection were closed meanwhile.
     */
    synchronized void refuseUnreadable(int status) {
        if (mClosed || mIsWaiting) {
            mConnection.submit(FrontExchange.refusal(mConnection, status, HttpHeaders.empty()));
            return;
        }
        endPending();
        mConnection.setPendingBody(null, System.nanoTime());
        mConnection.onUnreadable();
        linger();
        mConnection.submit(FrontExchange.refusal(mConnection, status, HttpHeaders.empty()));
    }

    private void linger() {
        if (!mLingers && mWaiting.tryLinger()) {
            mLingers = true;
            mConnection.expectInputEnd();
        }
    }

    /** Handles a part of a request, in the order in which they were read. */
    synchronized void onContent(HttpRequestPacket packet, @Nullable Buffer buffer, boolean last) {
        if (mClosed) {
            return;
        }
        if (mIsWaiting) {
            keep(packet, buffer, last);
        } else if (!process(packet, buffer, last, true)) {
            keep(packet, buffer, last);
            mIsWaiting = true;
            mWaitingSince = System.nanoTime();
            mConnection.setReading(false);
            mWaiting.add(this);
        }
    }

    /**
     * Keeps what was read already, unless it belongs to a request so far behind that its connection
     * ends before it. A parsed request takes a hundred times the memory of its text.
     */
    private void keep(HttpRequestPacket packet, @Nullable Buffer buffer, boolean last) {
        if (mUnprocessedEnds > FrontConnection.MAX_WAITING) {
            mIsCut = true;
        } else {
            mUnprocessedEnds += last ? 1 : 0;
            mUnprocessed.add(new Piece(packet, copy(buffer), last));
        }
    }

    private static byte[] copy(@Nullable Buffer buffer) {
        if (buffer == null) {
            return EMPTY;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /**
     * Goes on if there is memory now.
     *
     * @param isNext whether no other request waits that came before this one
     * @return whether the request waits no longer
     */
    synchronized boolean resume(boolean isNext) {
        if (mClosed) {
            return true;
        }
        while (!mUnprocessed.isEmpty()) {
            Piece piece = mUnprocessed.peek();
            Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, piece.bytes());
            if (!process(piece.packet(), buffer, piece.last(), isNext)) {
                return false;
            }
            mUnprocessed.poll();
            if (!mUnprocessed.isEmpty()) {
                mWaitingSince = System.nanoTime();
            }
        }
        mIsWaiting = false;
        mUnprocessedEnds = 0;
        if (mIsCut) {
            mConnection.ignoreInput();
        } else {
            mConnection.setReading(true);
        }
        return true;
    }

    /** Gives back the memory of a request that was not read to its end. */
    synchronized void onClosed() {
        mClosed = true;
        mUnprocessed.clear();
        stopLingering();
        endPending();
    }

    private void stopLingering() {
        if (mLingers) {
            mLingers = false;
            mWaiting.stopLingering();
        }
    }

    private void endPending() {
        if (mPending != null) {
            mPending.mClaim.release();
            mPending = null;
        }
    }

    /** Processes a part of a request; returns false if it must wait for memory. */
    private boolean process(
            HttpRequestPacket packet, @Nullable Buffer buffer, boolean last, boolean isNext) {
        if (packet == mRefused && last) {
            stopLingering();
            mConnection.onInputEnd();
        }
        if (mConnection.ignoresInput()) {
            return true;
        }
        FrontLimits limits = mLimits.get();
        Pending pending = mPending;
        if (pending == null) {
            pending = begin(packet, last, limits);
            if (pending == null) {
                return true;
            }
        }
        if (!pending.mAdmitted) {
            BodyAdmission.Decision decision = admit(pending, isNext);
            if (decision == BodyAdmission.Decision.WAIT) {
                return false;
            } else if (decision != BodyAdmission.Decision.READ) {
                refuseForMemory(pending, last, decision);
                return true;
            }
        }
        int bytes = buffer == null ? 0 : buffer.remaining();
        if (pending.mBody.exceedsLimit(bytes)) {
            refuse(pending.mPacket, last, TOO_LARGE);
            return true;
        }
        long missing = pending.mBody.missing(bytes);
        if (missing > 0) {
            BodyAdmission.Decision decision = decide(pending, missing, isNext);
            if (decision == BodyAdmission.Decision.WAIT) {
                return false;
            } else if (decision != BodyAdmission.Decision.READ) {
                refuseForMemory(pending, last, decision);
                return true;
            }
        }
        if (bytes > 0) {
            pending.mBody.add(buffer);
        }
        if (last) {
            submit(pending);
        }
        return true;
    }

    /** Begins a request, or refuses it because of its head; returns null in the latter case. */
    private @Nullable Pending begin(HttpRequestPacket packet, boolean last, FrontLimits limits) {
        if (!RequestFraming.isUnambiguous(packet)) {
            // Its end is unknown, so nothing that follows it can be read.
            refuse(packet, true, BAD_REQUEST);
            return null;
        }
        HttpHeaders headers = headers(packet);
        if (headerBytes(packet, headers) > limits.maxHeaderBytes()) {
            refuse(packet, last, HEADERS_TOO_LARGE);
            return null;
        }
        if (packet.getContentLength() > limits.maxBodyBytes()) {
            refuse(packet, last, TOO_LARGE);
            return null;
        }
        MemoryClaim claim = mMemory.account().open(MemoryClass.REQUEST);
        BodyBuffer body = new BodyBuffer(limits.maxBodyBytes(), claim);
        Pending pending =
                new Pending(packet, headers, claim, body, mConnection.input().lastReadBytes());
        mPending = pending;
        mConnection.setPendingBody(pending.mBody, System.nanoTime());
        return pending;
    }

    /** Decides whether the head of a request and its body, if its length is known, are held. */
    private BodyAdmission.Decision admit(Pending pending, boolean isNext) {
        int length = (int) Math.max(0, pending.mPacket.getContentLength());
        long head =
                headerBytes(pending.mPacket, pending.mHeaders)
                        + pending.mReadBytes
                        + REQUEST_OVERHEAD_BYTES;
        BodyAdmission.Decision decision = decide(pending, head + length, isNext);
        if (decision == BodyAdmission.Decision.READ) {
            pending.mAdmitted = true;
            pending.mBody.allocate(length);
            if (!mConnection.hasPendingResponse()) {
                // Otherwise the interim response would be sent inside the pending response.
                // The caller sends its body after a timeout if there is no interim response.
                sendContinue(pending.mPacket);
            }
        }
        return decision;
    }

    private BodyAdmission.Decision decide(Pending pending, long bytes, boolean isNext) {
        int waiting = mWaiting.count();
        boolean next = mIsWaiting ? isNext : waiting == 0;
        long waited = mIsWaiting ? System.nanoTime() - mWaitingSince : 0;
        int others = mIsWaiting ? waiting - 1 : waiting;
        return mMemory.admission().decide(pending.mClaim, bytes, next, waited, others);
    }

    private void refuseForMemory(Pending pending, boolean last, BodyAdmission.Decision decision) {
        boolean never = decision == BodyAdmission.Decision.NEVER;
        mMemory.account().countRefused(MemoryClass.REQUEST);
        refuse(pending.mPacket, last, never ? TOO_LARGE : UNAVAILABLE);
    }

    private void refuse(HttpRequestPacket packet, boolean last, int status) {
        endPending();
        mConnection.setPendingBody(null, System.nanoTime());
        mRefused = packet;
        if (!last) {
            linger();
        }
        HttpHeaders headers =
                status == UNAVAILABLE ? mMemory.refusalHeaders() : HttpHeaders.empty();
        mConnection.submit(FrontExchange.refusal(mConnection, status, headers));
    }

    private void submit(Pending pending) {
        mPending = null;
        pending.mClaim.shrink(pending.mReadBytes);
        mConnection.setPendingBody(null, System.nanoTime());
        mConnection.submit(
                new FrontExchange(
                        RequestLine.of(pending.mPacket),
                        pending.mHeaders,
                        pending.mBody.bytes(),
                        mConnection,
                        isKeepAlive(pending),
                        pending.mClaim));
    }

    private static boolean isKeepAlive(Pending pending) {
        String connection = pending.mHeaders.first("Connection").orElse("");
        return pending.mPacket.getProtocol() == Protocol.HTTP_1_1
                && !connection.toLowerCase(Locale.ROOT).contains("close");
    }

    private static long headerBytes(HttpRequestPacket packet, HttpHeaders headers) {
        long[] bytes = {packet.getRequestURI().length()};
        headers.forEach((name, value) -> bytes[0] += name.length() + value.length());
        return bytes[0];
    }

    /** Returns the headers of the head; fields that follow the body are not among them. */
    private static HttpHeaders headers(HttpRequestPacket packet) {
        HttpHeaders.Builder headers = HttpHeaders.builder();
        MimeHeaders raw = packet.getHeaders();
        for (int i = 0; i < raw.size(); i++) {
            headers.add(raw.getName(i).toString(), raw.getValue(i).toString());
        }
        return headers.build();
    }

    private void sendContinue(HttpRequestPacket packet) {
        if (packet.requiresAcknowledgement()) {
            packet.getResponse().setAcknowledgement(true);
            packet.getResponse().setStatus(100);
            mConnection.write(HttpContent.builder(packet.getResponse()).build());
            packet.getResponse().setAcknowledgement(false);
        }
    }
}
