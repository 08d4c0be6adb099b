package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * A deployment of the stand-in with two entries, and a client of it.
 *
 * <p>Waits end with an event or after a number of exchanges, never after a time.
 */
abstract class HostedFixture {
    static final int MAX_TRIES = 2_000;
    // Below the ports that systems use for outgoing connections.
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * 97);
    static final long TIMEOUT_MILLIS = 3_000;
    // Above the time that the configuration allows for headers.
    static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    StandinDeployment mScene;
    AsyncHttpClient mCaller;
    String mFirstFront;
    String mSecondFront;
    String mMetricsAddress;
    HostedEntry mFirstEntry;
    HostedEntry mSecondEntry;
    private String mPolicy = "";

    @BeforeEach
    void start() throws IOException {
        mScene = StandinDeployment.start(freeAddress(), freeAddress());
        mCaller = AsyncHttpClient.start();
        startEntries();
    }

    private void startEntries() throws IOException {
        mFirstFront = text(freeAddress());
        mSecondFront = text(freeAddress());
        mMetricsAddress = text(freeAddress());
        mFirstEntry = startEntry("edge-1", mFirstFront);
        mSecondEntry = startEntry("edge-2", mSecondFront);
        awaitReady(mFirstFront);
        awaitReady(mSecondFront);
    }

    @AfterEach
    void stop() throws IOException {
        mFirstEntry.close();
        mSecondEntry.close();
        mCaller.close();
        mScene.close();
    }

    /** Starts both entries again, without a mechanism. */
    void restartWithout(Mechanism mechanism) throws IOException {
        mFirstEntry.close();
        mSecondEntry.close();
        mPolicy = "\npolicy: {" + mechanism.settingKey() + ": false}";
        startEntries();
    }

    HostedEntry startEntry(String vm, String front) throws IOException {
        String settings =
                HostedSettingsTest.COMPLETE_SETTINGS
                        .replace("edge-1", vm)
                        .replace("10.1.0.35:8144", front)
                        .replace("10.1.0.35:8140", text(freeAddress()))
                        .replace(
                                "10.1.0.35:9464",
                                vm.equals("edge-1") ? mMetricsAddress : text(freeAddress()))
                        .replace("10.200.1.7:8142", text(mScene.storeAddress()));
        HostedSettings parsed = HostedSettings.parse("test", settings + mPolicy).settings();
        return HostedEntry.start(parsed, EventLog.start(OutputStream.nullOutputStream()));
    }

    /** Returns an address that is free, with a port that no outgoing connection is given. */
    static InetSocketAddress freeAddress() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(address);
                return address;
            } catch (BindException ignored) {
                // Another process has it; the next may be free.
            }
        }
        throw new IOException("no port is free from " + FIRST_PORT + " on");
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    HttpResponse send(String front, String method, String path, String id, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        URI uri = URI.create("http://" + front + path);
        HttpRequest call =
                HttpRequest.to(method, uri, StandinDeployment.headers(id), bytes, TIMEOUT_MILLIS);
        return mCaller.request(call, "test").join().fold(r -> r, f -> new HttpResponse(0, bytes));
    }

    /** Repeats a request until its answer is as wanted; each try takes the time of an exchange. */
    HttpResponse sendUntil(
            Predicate<HttpResponse> wanted, String front, String method, String path, String id) {
        HttpResponse reply = send(front, method, path, id, "");
        for (int i = 0; i < MAX_TRIES && !wanted.test(reply); i++) {
            reply = send(front, method, path, id, "");
        }
        return reply;
    }

    /** Waits until something holds; each look takes the time of an exchange. */
    void awaitTrue(BooleanSupplier wanted) {
        sendUntil(reply -> wanted.getAsBoolean(), mFirstFront, "POST", mScene.callPath(), "look");
        assertThat(wanted.getAsBoolean(), is(true));
    }

    void awaitReady(String front) {
        sendUntil(HttpResponse::isSuccess, front, "POST", mScene.callPath(), "warm");
    }

    /** Reads all results of a step, page by page as a trainer does, and returns their text. */
    String readResults(String front, String step) {
        StringBuilder pages = new StringBuilder();
        int next = 0;
        for (int i = 0; i < MAX_TRIES && next < mScene.samplesPerStep(); i++) {
            HttpResponse page = send(front, "GET", mScene.resultsPath(step, next), "", "");
            if (page.isSuccess()) {
                JsonNode json = JsonTrees.read(page.body());
                json.path("results").forEach(result -> pages.append(result).append('\n'));
                next = json.path("next").asInt();
            }
        }
        return pages.toString();
    }
}
