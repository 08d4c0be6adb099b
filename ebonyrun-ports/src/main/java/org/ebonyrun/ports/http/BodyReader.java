package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the body of a request asynchronously, so that a slow caller does not occupy a thread.
 *
 * <p>Thread safe: reading is confined to the I/O thread of the request's connection, and completion
 * is guarded by this object's monitor. The sink receives exactly one result.
 */
public final class BodyReader implements ReadHandler {
    private static final String STEP = "http.body";

    private final NIOInputStream mIn;
    private final int mMaxBytes;
    private final Consumer<Result<byte[]>> mSink;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private volatile boolean mDone;

    private BodyReader(NIOInputStream in, int maxBytes, Consumer<Result<byte[]>> sink) {
        mIn = in;
        mMaxBytes = maxBytes;
        mSink = sink;
    }

    /** Reads the body of {@code request}, whose response must have been suspended. */
    public static BodyReader read(Request request, int maxBytes, Consumer<Result<byte[]>> sink) {
        long length = request.getContentLengthLong();
        BodyReader reader = new BodyReader(request.getNIOInputStream(), maxBytes, sink);
        if (length > maxBytes) {
            reader.failTooLarge();
            return reader;
        }
        reader.mIn.notifyAvailable(reader);
        return reader;
    }

    @Override
    public void onDataAvailable() throws Exception {
        drain();
        if (!mDone) {
            mIn.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws Exception {
        drain();
        finish(Result.ok(mBody.toByteArray()));
    }

    @Override
    public void onError(Throwable t) {
        finish(
                Result.err(
                        Fault.notRun(
                                FaultCode.BAD_REQUEST,
                                STEP,
                                "",
                                "cannot read the request body: " + t)));
    }

    private void drain() throws IOException {
        byte[] chunk = new byte[Math.max(1, mIn.available())];
        while (!mDone && mIn.available() > 0) {
            int n = mIn.read(chunk);
            if (n <= 0) {
                return;
            }
            mBody.write(chunk, 0, n);
            if (mBody.size() > mMaxBytes) {
                failTooLarge();
            }
        }
    }

    private void failTooLarge() {
        String detail = "the request body is larger than " + mMaxBytes + " bytes";
        finish(Result.err(Fault.notRun(FaultCode.TOO_LARGE, STEP, "", detail)));
    }

    /** Returns whether the read has completed or failed. */
    public boolean isDone() {
        return mDone;
    }

    /** Fails the read with {@link FaultCode#DEADLINE} unless it has completed. */
    public void expire() {
        String detail = "the request body did not arrive within the time limit";
        finish(Result.err(Fault.notRun(FaultCode.DEADLINE, STEP, "", detail)));
    }

    private void finish(Result<byte[]> result) {
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
        }
        mSink.accept(result);
    }
}
