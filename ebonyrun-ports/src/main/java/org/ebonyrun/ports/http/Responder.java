package org.ebonyrun.ports.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes one response from any thread without blocking.
 *
 * <p>Thread safe. If a caller reads so slowly that the connection's write buffer is full, the
 * connection is closed, so that the response is recognizably incomplete.
 */
public final class Responder {
    private final Response mResponse;
    private final NIOOutputStream mOut;
    private boolean mBegun;
    private boolean mEnded;

    private Responder(Response response) {
        mResponse = response;
        mOut = response.getNIOOutputStream();
    }

    /** Suspends a response, to be written later by the returned responder. */
    public static Responder suspend(Response response) {
        response.suspend(-1, TimeUnit.MILLISECONDS);
        return new Responder(response);
    }

    /** Sends a complete response; does nothing if one was begun. */
    public synchronized void sendComplete(int status, String contentType, byte[] body) {
        if (mBegun || mEnded) {
            return;
        }
        mBegun = true;
        mResponse.setStatus(status);
        mResponse.setContentType(contentType);
        mResponse.setContentLength(body.length);
        if (write(body)) {
            finish();
        }
    }

    /** Sets a header; has no effect once the response was begun. */
    public synchronized void setHeader(String name, String value) {
        if (!mBegun) {
            mResponse.setHeader(name, value);
        }
    }

    /** Begins a response whose body follows in parts. */
    public synchronized void begin(int status, String contentType) {
        if (!mBegun) {
            mBegun = true;
            mResponse.setStatus(status);
            mResponse.setContentType(contentType);
        }
    }

    /** Returns whether the response was begun. */
    public synchronized boolean isStarted() {
        return mBegun;
    }

    /** Sends a part of the body; returns false if the caller has disconnected or is too slow. */
    public synchronized boolean sendPart(String text) {
        if (mEnded || !mOut.canWrite()) {
            abort();
            return false;
        }
        if (!write(text.getBytes(StandardCharsets.UTF_8))) {
            return false;
        }
        try {
            mOut.flush();
            return true;
        } catch (IOException e) {
            abort();
            return false;
        }
    }

    /** Ends a response that was sent in parts. */
    public synchronized void end() {
        if (!mEnded) {
            finish();
        }
    }

    /** Closes the connection without finishing the response. */
    public synchronized void abort() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mResponse.getRequest().getContext().getConnection().closeSilently();
        if (mResponse.isSuspended()) {
            mResponse.resume();
        }
    }

    private boolean write(byte[] bytes) {
        try {
            mOut.write(bytes);
            return true;
        } catch (IOException | RuntimeException e) {
            abort();
            return false;
        }
    }

    private void finish() {
        mEnded = true;
        try {
            mOut.close();
        } catch (IOException ignored) {
            // The caller has disconnected, so the response cannot be delivered.
        }
        if (mResponse.isSuspended()) {
            mResponse.resume();
        }
    }
}
