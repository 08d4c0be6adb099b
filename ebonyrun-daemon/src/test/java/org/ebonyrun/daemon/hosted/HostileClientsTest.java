package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.ebonyrun.daemon.hosted.HostileCrowd.Kind;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against clients that ignore the limits or the protocol and thereby end an entry, make it
 * exceed its memory or its descriptors, or keep it from serving others.
 *
 * <p>The entry is a process that is started as the deploy file says, except that its heap and its
 * descriptors are fewer, so that a small crowd shows what a large one does to a deployed entry.
 */
class HostileClientsTest {
    private static final String HEAP = "-Xmx24m";
    private static final int DESCRIPTORS = 512;
    // The memory that a node may use for control at the size for which the system is designed.
    private static final long MAX_MEMORY_BYTES = 256_000_000;
    // Leaves an eighth of the descriptors to the store and to endpoints.
    private static final long MAX_OPEN_DESCRIPTORS = DESCRIPTORS - DESCRIPTORS / 8;
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int MAX_TRIES = 20;
    private static final int CLIENTS = 32;
    private static final long BYTES = 16 << 20;
    private static final long SLOW_BYTES = 1 << 18;
    private static final int HOLDERS = 220;
    private static final int LONG = 130_000;
    private static final int MANY = 600;

    private static final String HOST = "Host: standin.example\r\n";
    private static final String CALL = "POST /call/1 HTTP/1.1\r\n" + HOST;
    private static final String FIELD = "X-Field: value\r\n";
    private static final String EMPTY_CALL = CALL + "X-Request-Id: r\r\nContent-Length: 0\r\n\r\n";
    private static final String READ = "GET /lots/unknown?after=0 HTTP/1.1\r\n" + HOST;
    private static final String WAITING_READ = READ + "X-Wait-Ms: 60000\r\n\r\n";
    private static final String CHUNKED = CALL + "Transfer-Encoding: chunked\r\n\r\n";

    @TempDir Path mFolder;
    private StandinDeployment mDeployment;
    private AsyncHttpClient mClient;
    private EntryProcess mEntry;

    @BeforeEach
    void start() throws IOException {
        mDeployment =
                StandinDeployment.start(HostedFixture.freeAddress(), HostedFixture.freeAddress());
        mClient = AsyncHttpClient.start();
        List<String> options =
                EntryProcess.deployedOptions().stream()
                        .map(option -> option.startsWith("-Xmx") ? HEAP : option)
                        .toList();
        mEntry =
                EntryProcess.startWithDescriptors(
                        mFolder, "edge-1", mDeployment.storeAddress(), options, DESCRIPTORS);
        mEntry.awaitReady();
        assertThat(callUntilServed("before"), is(200));
    }

    @AfterEach
    void stop() throws Exception {
        mEntry.kill();
        mEntry.awaitEnd();
        mClient.close();
        mDeployment.close();
    }

    /** Repeats an ordinary call until it is served; returns the status of the last response. */
    private int callUntilServed(String id) {
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 200 && mEntry.isAlive(); i++) {
            status = call(id + "-" + i);
        }
        return status;
    }

    /** Returns the status of the response to an ordinary call; zero if there is none. */
    private int call(String id) {
        HttpRequest request =
                HttpRequest.to(
                        "POST",
                        URI.create("http://" + mEntry.front() + mDeployment.callPath()),
                        StandinDeployment.headers(id, TIMEOUT_MILLIS),
                        new byte[0],
                        TIMEOUT_MILLIS);
        return mClient.request(request, "test").join().fold(HttpResponse::status, fault -> 0);
    }

    private static Stream<Kind> heads() {
        return Stream.of(
                Kind.holding("long heads", HOLDERS, CALL + "X: " + "a".repeat(LONG)),
                Kind.holding("many empty lines", HOLDERS, "\r\n".repeat(LONG / 2)),
                Kind.holding("long heads behind reads", HOLDERS, WAITING_READ + "G".repeat(LONG)),
                Kind.fast("method without end", CLIENTS, "", "A", BYTES),
                Kind.fast("target without end", CLIENTS, "GET /", "a", BYTES),
                Kind.fast("field without end", CLIENTS, CALL + "X: ", "a", BYTES),
                Kind.fast("fields without end", CLIENTS, CALL, FIELD, BYTES),
                Kind.fast("empty lines without end", CLIENTS, "", "\r\n", BYTES),
                Kind.fast("empty lines behind a call", CLIENTS, EMPTY_CALL, "\r\n", BYTES),
                Kind.fast("fields behind a read", CLIENTS, WAITING_READ + CALL, FIELD, BYTES),
                Kind.piecemeal("field by bytes", CLIENTS, CALL + "X: ", "a", SLOW_BYTES),
                Kind.piecemeal("fields one by one", CLIENTS, CALL, FIELD, SLOW_BYTES),
                Kind.piecemeal("empty lines one by one", CLIENTS, "", "\r\n", SLOW_BYTES));
    }

    @ParameterizedTest
    @MethodSource("heads")
    void headsWithoutEndAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private static Stream<Kind> requestsAhead() {
        String unrouted = "GET /x HTTP/1.1\r\nHost: nowhere.example\r\n\r\n";
        String large = CALL + "Content-Length: 60000\r\n\r\n" + "a".repeat(60_000);
        String longHead = CALL + "X: " + "a".repeat(12_000) + "\r\nContent-Length: 0\r\n\r\n";
        String malformed = "GET / HTTP/9.9\r\n\r\n";
        return Stream.of(
                Kind.fast("calls", CLIENTS, "", EMPTY_CALL, BYTES),
                Kind.fast("calls with long heads", CLIENTS, "", longHead, BYTES),
                Kind.fast("large calls", CLIENTS, "", large, BYTES),
                Kind.fast("reads", CLIENTS, "", READ + "\r\n", BYTES),
                Kind.fast("reads that wait", CLIENTS, "", WAITING_READ, BYTES),
                Kind.fast("calls without a route", CLIENTS, "", unrouted, BYTES),
                Kind.fast("malformed calls", CLIENTS, "", malformed, BYTES));
    }

    @ParameterizedTest
    @MethodSource("requestsAhead")
    void requestsSentAheadAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private static Stream<Kind> bodies() {
        return Stream.of(
                Kind.fast("chunk size", CLIENTS, CHUNKED, "0", BYTES),
                Kind.fast("chunk extension", CLIENTS, CHUNKED + "1;", "a", BYTES),
                Kind.fast("chunks", CLIENTS, CHUNKED, "1\r\na\r\n", BYTES),
                Kind.fast("trailer", CLIENTS, CHUNKED + "0\r\nX: ", "a", BYTES),
                Kind.fast("trailers", CLIENTS, CHUNKED + "0\r\n", FIELD, BYTES));
    }

    @ParameterizedTest
    @MethodSource("bodies")
    void bodiesWithoutEndAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private static Stream<Kind> bodiesAhead() {
        String body = "Content-Length: 200000\r\n\r\n" + "a".repeat(200_000);
        return Stream.of(
                Kind.fast("large bodies", HOLDERS, "", CALL + body, BYTES),
                Kind.holding(
                        "announced bodies",
                        HOLDERS,
                        CALL + "Content-Length: 900000\r\nExpect: 100-continue\r\n\r\n"));
    }

    @ParameterizedTest
    @MethodSource("bodiesAhead")
    void bodiesOfManyCallersAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private static Stream<Kind> linesOfChunks() {
        String line = "a".repeat(LONG);
        return Stream.of(
                Kind.holding("extensions", HOLDERS, CHUNKED + "1;" + line),
                Kind.holding("trailers", HOLDERS, CHUNKED + "0\r\nX: " + line));
    }

    @ParameterizedTest
    @MethodSource("linesOfChunks")
    void linesOfChunksThatAreHeldAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private static Stream<Kind> connections() {
        return Stream.of(
                Kind.holding("without a request", MANY, ""),
                Kind.holding("with incomplete heads", MANY, CALL));
    }

    @ParameterizedTest
    @MethodSource("connections")
    void connectionsAreBounded(Kind kind) throws Exception {
        assertServesBesideAndAfter(kind);
    }

    private void assertServesBesideAndAfter(Kind kind) throws Exception {
        String[] address = mEntry.front().split(":");
        InetSocketAddress front = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
        try (HostileCrowd crowd = HostileCrowd.start(front, kind)) {
            crowd.sent().join();
            int beside = callUntilServed("beside");

            assertThat(mEntry.state(), is("running"));
            assertThat(mEntry.openDescriptors(), lessThan(MAX_OPEN_DESCRIPTORS));
            assertThat(mEntry.peakMemoryBytes(), lessThan(MAX_MEMORY_BYTES));
            assertThat(beside, is(200));
        }
        assertThat(callUntilServed("after"), is(200));
        assertThat(mEntry.state(), is("running"));
    }
}
