package org.ebonyrun.daemon.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.BodyReader;
import org.glassfish.grizzly.http.server.Request;

/** Reads request bodies with a size limit and a timeout. Stateless and thread safe. */
final class RequestBodies {
    private static final long TIMEOUT_MILLIS = 30_000;

    private RequestBodies() {}

    /** Reads a body of at most {@code maxBytes} bytes. Calls {@code callback} exactly once. */
    static void read(
            ScheduledExecutorService timer,
            Request request,
            int maxBytes,
            Consumer<Result<byte[]>> callback) {
        BodyReader reader = BodyReader.read(request, maxBytes, callback);
        if (!reader.isDone()) {
            timer.schedule(reader::expire, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
