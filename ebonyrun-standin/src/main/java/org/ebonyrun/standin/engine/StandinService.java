package org.ebonyrun.standin.engine;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.ports.http.BodyReader;
import org.ebonyrun.ports.http.HttpServerSettings;
import org.ebonyrun.ports.http.HttpServers;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * A plain service that echoes request bodies and scores samples. Keeps a log of the requests it
 * ran.
 *
 * <p>Thread safe.
 */
public final class StandinService implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int WORKERS = 2;
    private static final String JSON = "application/json";

    private final List<String> mLog = new CopyOnWriteArrayList<>();
    private final long mServiceMillis;
    private final ScheduledExecutorService mTimer;
    private final HttpServer mServer;

    private StandinService(String name, String host, int port, long serviceMillis)
            throws IOException {
        mServiceMillis = serviceMillis;
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "service-" + name);
                            thread.setDaemon(true);
                            return thread;
                        });
        mServer =
                HttpServers.start(
                        new HttpServerSettings(name, host, port, WORKERS), Map.of("/*", handler()));
    }

    /** Starts a service that responds to each request after {@code serviceMillis} milliseconds. */
    public static StandinService start(String name, String host, int port, long serviceMillis)
            throws IOException {
        return new StandinService(name, host, port, serviceMillis);
    }

    /** Returns the base address of the service. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + HttpServers.port(mServer));
    }

    /** Returns the bodies of the requests that were run, in order, without scoring requests. */
    public List<String> log() {
        return List.copyOf(mLog);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.shutdownNow();
    }

    private HttpHandler handler() {
        return new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                Responder out = StandinEngine.suspend(request, response);
                String path = request.getRequestURI();
                if (!request.getMethod().getMethodString().equals("POST")) {
                    out.sendComplete(200, JSON, "{}".getBytes(StandardCharsets.UTF_8));
                    return;
                }
                BodyReader.read(
                        request,
                        MAX_BODY_BYTES,
                        result -> result.map(body -> run(path, body, out)));
            }
        };
    }

    private boolean run(String path, byte[] body, Responder out) {
        boolean scoring = path.equals("/score");
        if (!scoring) {
            mLog.add(new String(body, StandardCharsets.UTF_8));
        }
        byte[] response =
                scoring
                        ? Integer.toString(body.length % 100).getBytes(StandardCharsets.UTF_8)
                        : body;
        mTimer.schedule(
                () -> out.sendComplete(200, JSON, response), mServiceMillis, TimeUnit.MILLISECONDS);
        return true;
    }
}
