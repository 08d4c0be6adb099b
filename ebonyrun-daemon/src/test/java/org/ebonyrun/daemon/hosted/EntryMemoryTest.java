package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.isIn;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.platform.standin.StandinStore;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests within the configured limits that together end an entry for want of
 * memory, in processes with the heap of the deploy file.
 *
 * <p>A response of 504 fails a test unless the operating system kept a thread of this process,
 * which runs the store and the endpoint, or of an entry from running for half of a call's time.
 */
class EntryMemoryTest {
    private static final int MEBIBYTE = 1 << 20;
    private static final int MAX_BODY_BYTES = 32 * MEBIBYTE;
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int GATEWAY_TIMEOUT = 504;
    // In place of 504 when the operating system kept a thread from running.
    private static final int STARVED = -GATEWAY_TIMEOUT;
    // Half of the time that the stand-in's configuration gives to calls.
    private static final long MAX_DELAY_MILLIS = 1_000;
    private static final int LARGE_STEPS = 27;
    private static final int SMALL_CALLERS = 8;
    private static final int MIXED_CALLERS = 12;
    private static final int MIXED_REQUESTS = 8;

    @TempDir Path mFolder;
    private StandinDeployment mDeployment;
    private AsyncHttpClient mClient;
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final ConcurrentLinkedQueue<Integer> mSmallStatuses = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private RunQueueDelays mDelays;

    @BeforeEach
    void start() throws IOException {
        mDeployment =
                StandinDeployment.start(HostedFixture.freeAddress(), HostedFixture.freeAddress());
        mDeployment.configureMaxBody(100, MAX_BODY_BYTES);
        mClient = AsyncHttpClient.start();
        for (int i = 1; i <= 2; i++) {
            mEntries.add(
                    EntryProcess.start(
                            mFolder,
                            "edge-" + i,
                            mDeployment.storeAddress(),
                            EntryProcess.deployedOptions()));
        }
        mDelays = RunQueueDelays.of(mEntries.stream().map(EntryProcess::pid).toList());
        for (EntryProcess entry : mEntries) {
            entry.awaitReady();
            int status = 0;
            for (int i = 0; i < HostedFixture.MAX_TRIES && status != 200; i++) {
                status = send(entry, "POST", mDeployment.callPath(), "warm", new byte[0]).join();
            }
        }
    }

    @AfterEach
    void stop() throws Exception {
        mEntries.forEach(EntryProcess::kill);
        for (EntryProcess entry : mEntries) {
            entry.awaitEnd();
        }
        mClient.close();
        mDeployment.close();
    }

    /** Returns the status of the response; zero if there is none. */
    private CompletableFuture<Integer> send(
            EntryProcess entry, String method, String path, String id, byte[] body) {
        return request(entry, method, path, id, body).thenApply(HttpResponse::status);
    }

    /** Returns {@link #STARVED} in place of 504 if a thread was kept from running meanwhile. */
    private CompletableFuture<Integer> sendObserved(
            EntryProcess entry, String method, String path, String id, byte[] body) {
        RunQueueDelays.Snapshot before = mDelays.recent();
        return send(entry, method, path, id, body)
                .thenCompose(
                        status ->
                                status == GATEWAY_TIMEOUT
                                        ? awaitEndpoint().thenApply(ok -> explainTimeout(before))
                                        : CompletableFuture.completedFuture(status));
    }

    /** Completes when the thread of the endpoint has run, and its delay counts. */
    private CompletableFuture<Boolean> awaitEndpoint() {
        String endpoint = HostedFixture.formatAddress(mDeployment.endpointAddress());
        URI uri = URI.create("http://" + endpoint + mDeployment.reportPath());
        return mClient.request(HttpRequest.of("GET", uri, TIMEOUT_MILLIS), "test")
                .thenApply(result -> result.isOk());
    }

    private int explainTimeout(RunQueueDelays.Snapshot before) {
        return mDelays.longestSince(before) >= MAX_DELAY_MILLIS ? STARVED : GATEWAY_TIMEOUT;
    }

    /** Sends a request, and repeats it after each response of {@link #STARVED}. */
    private int sendUntilServed(
            EntryProcess entry, String method, String path, String id, byte[] body) {
        int status = sendObserved(entry, method, path, id, body).join();
        for (int i = 0; i < HostedFixture.MAX_TRIES && status == STARVED; i++) {
            status = sendObserved(entry, method, path, id, body).join();
        }
        return status;
    }

    private CompletableFuture<HttpResponse> request(
            EntryProcess entry, String method, String path, String id, byte[] body) {
        HttpRequest request =
                HttpRequest.to(
                        method,
                        URI.create("http://" + entry.front() + path),
                        StandinDeployment.headers(id, TIMEOUT_MILLIS),
                        body,
                        TIMEOUT_MILLIS);
        return mClient.request(request.withMaxResponseBytes(0), "test")
                .thenApply(
                        result -> result.fold(r -> r, fault -> new HttpResponse(0, new byte[0])));
    }

    /** Sends small calls, one after the other, until the test has ended its large requests. */
    private CompletableFuture<Void> callRepeatedly(EntryProcess entry, String id) {
        if (mEnded.get()) {
            return CompletableFuture.completedFuture(null);
        }
        byte[] body = id.getBytes(StandardCharsets.UTF_8);
        return sendObserved(entry, "POST", mDeployment.callPath(), id, body)
                .thenCompose(
                        status -> {
                            mSmallStatuses.add(status);
                            return callRepeatedly(entry, id + "x");
                        });
    }

    /** Runs requests beside small calls, and checks that neither end the entries. */
    private void runBesideSmallCalls(Runnable requests) {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < SMALL_CALLERS; i++) {
            callers.add(callRepeatedly(mEntries.get(i % mEntries.size()), "small-" + i + "-"));
        }
        requests.run();
        mEnded.set(true);
        callers.forEach(CompletableFuture::join);
        assertAlive();
        // No small call is closed without an answer.
        assertThat(mSmallStatuses, everyItem(isIn(List.of(200, 503, STARVED))));
    }

    private void assertAlive() {
        for (EntryProcess entry : mEntries) {
            assertThat(entry.isAlive(), is(true));
            assertThat(awaitNothingHeld(entry), containsString("memory_request_bytes 0.0"));
        }
    }

    /** Waits until an entry holds nothing for callers; returns its metrics. */
    private String awaitNothingHeld(EntryProcess entry) {
        String text = "";
        for (int i = 0; i < HostedFixture.MAX_TRIES; i++) {
            URI uri = URI.create("http://" + entry.metrics() + "/metrics");
            text =
                    mClient.request(HttpRequest.of("GET", uri, TIMEOUT_MILLIS), "test")
                            .join()
                            .fold(HttpResponse::text, Object::toString);
            if (text.contains("memory_request_bytes 0.0")
                    && text.contains("memory_response_bytes 0.0")) {
                return text;
            }
        }
        return text;
    }

    /** Returns a submission with samples that have bodies of the given size. */
    private static byte[] submission(int samples, int bodyBytes) {
        byte[] body = new byte[bodyBytes];
        new Random(bodyBytes).nextBytes(body);
        String text = Base64.getEncoder().encodeToString(body);
        StringBuilder json =
                new StringBuilder(
                        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"group_count\":1,"
                                + "\"items\":[");
        for (int i = 0; i < samples; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"s")
                    .append(i)
                    .append("\",\"path\":\"/step/1\",\"headers\":{\"X-Model\":\"m\",")
                    .append("\"X-Token-Count\":\"1,1\"},\"body\":\"")
                    .append(text)
                    .append("\"}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private String itemPath(String step, String sample) {
        return "/items/" + step + "?id=" + sample;
    }

    // Review case 5.
    @Test
    void largeRequestsAtTheSameTimeAreServedOrRefused() {
        byte[] body = new byte[4 * MEBIBYTE];
        runBesideSmallCalls(
                () -> {
                    List<CompletableFuture<Integer>> large =
                            IntStream.range(0, 23)
                                    .mapToObj(
                                            i ->
                                                    sendObserved(
                                                            mEntries.get(0),
                                                            "POST",
                                                            mDeployment.callPath(),
                                                            "large-" + i,
                                                            body))
                                    .toList();
                    List<Integer> statuses = large.stream().map(CompletableFuture::join).toList();
                    assertThat(statuses, everyItem(isIn(List.of(200, 503, STARVED))));
                });
    }

    // Review case 2.
    @Test
    void largeSubmissionsOneAfterTheOtherAreAccepted() {
        byte[] body = submission(44, 16 * MEBIBYTE / 44 / 4 * 3);
        runBesideSmallCalls(
                () -> {
                    for (int i = 0; i < 8; i++) {
                        String path = mDeployment.stepPath();
                        String step = "step-" + i;
                        assertThat(
                                sendUntilServed(mEntries.get(0), "POST", path, step, body),
                                is(202));
                        String before = "/lots/step-" + (i - 1);
                        send(mEntries.get(0), "DELETE", before, "", new byte[0]).join();
                    }
                });
    }

    @Test
    void samplesOfLargeStepsAreReadAtOtherEntriesWithinMemory() {
        byte[] body = submission(1, 10 * MEBIBYTE);
        List<String> steps = List.of("one", "two", "three");
        for (String step : steps) {
            assertThat(
                    sendUntilServed(mEntries.get(0), "POST", mDeployment.stepPath(), step, body),
                    isIn(List.of(202, 503)));
        }
        runBesideSmallCalls(
                () -> {
                    List<CompletableFuture<Integer>> reads = new ArrayList<>();
                    for (int i = 0; i < 24; i++) {
                        String path = itemPath(steps.get(i % steps.size()), "s0");
                        reads.add(sendObserved(mEntries.get(1), "GET", path, "", new byte[0]));
                    }
                    List<Integer> statuses = reads.stream().map(CompletableFuture::join).toList();
                    assertThat(statuses, everyItem(isIn(List.of(200, 404, 503, STARVED))));
                });
    }

    /** Stores a finished step; each value has results of {@code texts} with the same text. */
    private void storeResults(String step, int values, int texts, String text) {
        StepId id = StepId.of(step);
        StandinStore store = mDeployment.platform().store();
        long now = System.currentTimeMillis();
        StepManifest manifest =
                new StepManifest(
                        StandinDeployment.host(), "/step/", "m", 1, 1, values * texts, null, now);
        mDeployment.platform().put(StoreKeys.liveKey(id, StoreKeys.DONE), "1");
        store.put(
                StoreKeys.liveKey(id, StoreKeys.MANIFEST),
                Base64.getEncoder().encodeToString(StepCodec.manifest(manifest)),
                0);
        List<SampleResult> results = new ArrayList<>();
        for (int i = 0; i < texts; i++) {
            results.add(new SampleResult("s" + i, true, text, List.of(1), ""));
        }
        String value = Base64.getEncoder().encodeToString(StepCodec.results(results));
        for (int i = 0; i < values; i++) {
            store.put(StoreKeys.resultKey(id, i * texts), value, 0);
        }
    }

    /** Reads all results of a step page by page; returns their number, or an unexpected status. */
    private CompletableFuture<Integer> readAll(EntryProcess entry, String step, int from) {
        return request(entry, "GET", "/lots/" + step + "?after=" + from, "", new byte[0])
                .thenCompose(
                        response -> {
                            if (response.status() == 503) {
                                return readAll(entry, step, from);
                            }
                            if (response.status() != 200) {
                                return CompletableFuture.completedFuture(-response.status());
                            }
                            int next = JsonTrees.read(response.body()).path("next").asInt();
                            return next == from
                                    ? CompletableFuture.completedFuture(from)
                                    : readAll(entry, step, next);
                        });
    }

    // Review case 8.
    @Test
    void resultsOfManyLargeStepsAreReadWithinMemory() {
        String text = "x".repeat(48_000);
        for (int i = 0; i < LARGE_STEPS; i++) {
            storeResults("large-" + i, 12, 12, text);
        }
        runBesideSmallCalls(
                () -> {
                    List<CompletableFuture<Integer>> reads = new ArrayList<>();
                    for (int i = 0; i < 2 * LARGE_STEPS; i++) {
                        EntryProcess entry = mEntries.get(i % mEntries.size());
                        reads.add(readAll(entry, "large-" + i % LARGE_STEPS, 0));
                    }
                    List<Integer> counts = reads.stream().map(CompletableFuture::join).toList();
                    assertThat(counts, everyItem(is(12 * 12)));
                });
    }

    @Test
    void anIdleEntryServesBodiesOfNearlyTheLargestSize() {
        byte[] call = new byte[MAX_BODY_BYTES];
        assertThat(
                sendUntilServed(mEntries.get(0), "POST", mDeployment.callPath(), "call", call),
                is(200));
        byte[] step = submission(1, MAX_BODY_BYTES / 4 * 3 - 1_024);
        assertThat(
                sendUntilServed(mEntries.get(1), "POST", mDeployment.stepPath(), "largest", step),
                is(202));
        String read = "/lots/largest?after=0";
        HttpResponse results = request(mEntries.get(1), "GET", read, "", new byte[0]).join();
        for (int i = 0; i < HostedFixture.MAX_TRIES && !results.text().contains("done"); i++) {
            results = request(mEntries.get(1), "GET", read, "", new byte[0]).join();
        }
        assertThat(results.text(), containsString("\"state\":\"done\""));
        assertAlive();
    }

    @ParameterizedTest
    @ValueSource(ints = {20_000, 400_000})
    void manySmallSamplesAreAcceptedOrRefused(int samples) {
        byte[] body = submission(samples, 3);
        List<Integer> allowed = samples < 100_000 ? List.of(202) : List.of(413, 503);
        runBesideSmallCalls(
                () ->
                        assertThat(
                                sendUntilServed(
                                        mEntries.get(0),
                                        "POST",
                                        mDeployment.stepPath(),
                                        "many",
                                        body),
                                isIn(allowed)));
    }

    private static Stream<Long> seeds() {
        return LongStream.range(0, Long.getLong("ebonyrun.memory.seeds", 2)).boxed();
    }

    /** Mixes of sizes, of calls, steps and reads, and of callers that leave. */
    @ParameterizedTest
    @MethodSource("seeds")
    void anyMixOfRequestsIsServedOrRefused(long seed) {
        Random random = new Random(seed);
        ConcurrentLinkedQueue<Integer> statuses = new ConcurrentLinkedQueue<>();
        runBesideSmallCalls(
                () -> {
                    List<CompletableFuture<Void>> callers = new ArrayList<>();
                    for (int i = 0; i < MIXED_CALLERS; i++) {
                        callers.add(mix(random.nextLong(), MIXED_REQUESTS, statuses));
                    }
                    callers.forEach(CompletableFuture::join);
                });

        assertThat(statuses, everyItem(isIn(List.of(0, 200, 202, 404, 413, 503, 504))));
    }

    /** Sends random requests, one after the other. A caller that leaves counts as status zero. */
    private CompletableFuture<Void> mix(
            long seed, int requests, ConcurrentLinkedQueue<Integer> statuses) {
        if (requests == 0) {
            return CompletableFuture.completedFuture(null);
        }
        Random random = new Random(seed);
        EntryProcess entry = mEntries.get(random.nextInt(mEntries.size()));
        int bytes = random.nextInt(1 << (1 + random.nextInt(24)));
        String step = "mix-" + random.nextInt(8);
        String id = "mix-" + seed;
        int samples = 1 + random.nextInt(40);
        CompletableFuture<Integer> sent =
                switch (random.nextInt(6)) {
                    case 0, 1 -> send(entry, "POST", mDeployment.callPath(), id, new byte[bytes]);
                    case 2 ->
                            send(
                                    entry,
                                    "POST",
                                    mDeployment.stepPath(),
                                    step,
                                    submission(samples, bytes / samples));
                    case 3 -> send(entry, "GET", itemPath(step, "s0"), "", new byte[0]);
                    case 4 -> send(entry, "DELETE", "/lots/" + step, "", new byte[0]);
                    default -> leaveEarly(entry, bytes);
                };
        return sent.thenCompose(
                status -> {
                    statuses.add(status);
                    return mix(random.nextLong(), requests - 1, statuses);
                });
    }

    /** Sends a part of a request and leaves. */
    private CompletableFuture<Integer> leaveEarly(EntryProcess entry, int bytes) {
        String[] address = entry.front().split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            String head = "POST /call/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + bytes;
            socket.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[bytes / 2]);
        } catch (IOException ignored) {
            // The entry refused the request and closed the connection.
        }
        return CompletableFuture.completedFuture(0);
    }

    @Test
    void aBodyAboveTheLimitIsRefusedForGood() {
        byte[] body = new byte[MAX_BODY_BYTES + 1];

        assertThat(
                send(mEntries.get(0), "POST", mDeployment.callPath(), "call", body).join(),
                is(413));
    }
}
