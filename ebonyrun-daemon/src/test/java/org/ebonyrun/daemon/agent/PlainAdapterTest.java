package org.ebonyrun.daemon.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.core.attempt.Job;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.platform.standin.FaultInjectingEndpoint;
import org.ebonyrun.platform.standin.FaultInjector;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PlainAdapterTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int JOBS = 6;

    private AsyncHttpClient mHttpClient;
    private FaultInjectingEndpoint mService;

    @BeforeEach
    void start() throws IOException {
        mHttpClient = AsyncHttpClient.start();
        mService = FaultInjectingEndpoint.start("i-1", 1, FaultInjector.disabled());
    }

    @AfterEach
    void stop() throws IOException {
        mHttpClient.close();
        mService.close();
    }

    @ParameterizedTest
    @EnumSource(FaultInjector.Repeat.class)
    void sequentialJobsGetTheirOwnResponsesDespiteDuplicates(FaultInjector.Repeat repeat)
            throws Exception {
        mService.setFaultInjector(FaultInjector.repeating(repeat));
        ResponseCollector responses = new ResponseCollector();
        URI base = URI.create("http://127.0.0.1:" + mService.address().getPort());
        PlainAdapter adapter = PlainAdapter.create(mHttpClient, base, responses);
        for (int i = 1; i <= JOBS; i++) {
            AttemptId id = new AttemptId(1, i);
            String body = "job " + i;
            adapter.start(id, job(body));

            String response = responses.of(id).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(response, is("200 " + body));
        }
    }

    private static Job job(String body) {
        return new Job(
                WorkKind.CALL,
                ClassName.of("lookup"),
                0.99,
                1_000,
                9_000,
                false,
                "/call",
                "text/plain",
                body.getBytes(StandardCharsets.UTF_8),
                0,
                null,
                0);
    }

    /** Collects responses by attempt. Thread safe. */
    private static final class ResponseCollector implements EndpointListener {
        private final Map<AttemptId, StringBuffer> mPieces = new ConcurrentHashMap<>();
        private final Map<AttemptId, CompletableFuture<String>> mResponses =
                new ConcurrentHashMap<>();

        CompletableFuture<String> of(AttemptId id) {
            return mResponses.computeIfAbsent(id, key -> new CompletableFuture<>());
        }

        private StringBuffer pieces(AttemptId id) {
            return mPieces.computeIfAbsent(id, key -> new StringBuffer());
        }

        @Override
        public void onPiece(AttemptId id, byte[] data, int tokens, long version) {
            pieces(id).append(new String(data, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(AttemptId id, int status, String contentType) {
            of(id).complete(status + " " + pieces(id));
        }

        @Override
        public void onFailure(AttemptId id, boolean sent, FaultCode code, String detail) {
            of(id).complete(code + " " + detail);
        }

        @Override
        public void onState(long version, int slots) {}

        @Override
        public void onUnreachable() {}

        @Override
        public void onLoadFinished(long version, Optional<Fault> fault) {}
    }
}
