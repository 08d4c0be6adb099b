package org.ebonyrun.ports.kv;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/**
 * A client of a key-value service over HTTP and JSON.
 *
 * <p>Thread safe. Never retries: the caller decides how to handle an unknown outcome.
 */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final AsyncHttpClient mClient;
    private final URI mBase;

    private HttpKeyValueStore(AsyncHttpClient client, URI base) {
        mClient = client;
        mBase = base;
    }

    /** Creates a client of the service at {@code base}. */
    public static HttpKeyValueStore create(AsyncHttpClient client, URI base) {
        return new HttpKeyValueStore(client, base);
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> get(String key) {
        return call("GET", path(key), "", TIMEOUT_MILLIS, HttpKeyValueStore::optionalEntry);
    }

    @Override
    public CompletableFuture<Result<List<KeyValueEntry>>> list(String prefix) {
        return call(
                "GET",
                "/kv?prefix=" + encode(prefix),
                "",
                TIMEOUT_MILLIS,
                response -> {
                    List<KeyValueEntry> entries = new ArrayList<>();
                    parse(response).get("entries").forEach(node -> entries.add(entry(node)));
                    return entries;
                });
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> put(
            String key, byte[] value, long expectedRevision, long ttlMillis) {
        String body =
                JSON.createObjectNode()
                        .put("value", Base64.getEncoder().encodeToString(value))
                        .toString();
        String query = "?revision=" + expectedRevision + "&ttl_ms=" + ttlMillis;
        return call("PUT", path(key) + query, body, TIMEOUT_MILLIS, HttpKeyValueStore::outcome);
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> renew(
            String key, long revision, long ttlMillis) {
        String query = "?revision=" + revision + "&ttl_ms=" + ttlMillis;
        return call("POST", path(key) + query, "", TIMEOUT_MILLIS, HttpKeyValueStore::outcome);
    }

    @Override
    public CompletableFuture<Result<WriteOutcome>> delete(String key, long expectedRevision) {
        String query = "?revision=" + expectedRevision;
        return call("DELETE", path(key) + query, "", TIMEOUT_MILLIS, HttpKeyValueStore::outcome);
    }

    @Override
    public CompletableFuture<Result<Optional<KeyValueEntry>>> watch(
            String key, long afterRevision, long waitMillis) {
        String query = "?after=" + afterRevision + "&wait_ms=" + waitMillis;
        long timeout = waitMillis + TIMEOUT_MILLIS;
        return call("GET", path(key) + query, "", timeout, HttpKeyValueStore::optionalEntry);
    }

    private <T> CompletableFuture<Result<T>> call(
            String method,
            String target,
            String body,
            long timeoutMillis,
            Function<HttpResponse, T> decode) {
        URI uri = URI.create(mBase + target);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String step = "key-value." + method;
        return mClient.request(
                        HttpRequest.json(method, uri, bytes, timeoutMillis)
                                .withCorrelation(Correlation.byOrder()),
                        step)
                .thenApply(result -> result.flatMap(response -> decode(response, step, decode)));
    }

    private <T> Result<T> decode(
            HttpResponse response, String step, Function<HttpResponse, T> decode) {
        String peer = mBase.getAuthority();
        try {
            if (response.isSuccess() || response.status() == 404 || response.status() == 409) {
                return Result.ok(decode.apply(response));
            }
            String detail = "status " + response.status();
            return Result.err(Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, step, peer, detail));
        } catch (RuntimeException e) {
            String detail = "invalid response: " + e.getMessage();
            return Result.err(Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, step, peer, detail));
        }
    }

    private static Optional<KeyValueEntry> optionalEntry(HttpResponse response) {
        return response.status() == 404 ? Optional.empty() : Optional.of(entry(parse(response)));
    }

    private static WriteOutcome outcome(HttpResponse response) {
        return new WriteOutcome(response.isSuccess(), parse(response).path("revision").asLong());
    }

    private static KeyValueEntry entry(JsonNode node) {
        byte[] value = Base64.getDecoder().decode(node.get("value").asText());
        return new KeyValueEntry(node.get("key").asText(), value, node.get("revision").asLong());
    }

    private static JsonNode parse(HttpResponse response) {
        try {
            return JSON.readTree(response.body());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static String path(String key) {
        return "/kv/" + encode(key).replace("%2F", "/");
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
