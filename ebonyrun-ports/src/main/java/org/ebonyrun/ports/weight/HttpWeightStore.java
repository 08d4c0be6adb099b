package org.ebonyrun.ports.weight;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/** Reads the newest weight version over HTTP. Thread safe. */
public final class HttpWeightStore implements WeightStore {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final String STEP = "weight-store.latest";

    private final AsyncHttpClient mClient;
    private final URI mBase;

    private HttpWeightStore(AsyncHttpClient client, URI base) {
        mClient = client;
        mBase = base;
    }

    /** Creates a client of the store at {@code base}. */
    public static HttpWeightStore create(AsyncHttpClient client, URI base) {
        return new HttpWeightStore(client, base);
    }

    @Override
    public CompletableFuture<Result<Long>> latestVersion(ServiceName service) {
        URI uri = URI.create(mBase + "/weights/" + service + "/latest");
        return mClient.request(
                        HttpRequest.of("GET", uri, TIMEOUT_MILLIS)
                                .withCorrelation(Correlation.byOrder()),
                        STEP)
                .thenApply(result -> result.flatMap(this::decode));
    }

    @Override
    public String source(ServiceName service, long version) {
        return mBase + "/weights/" + service + "/" + version;
    }

    private Result<Long> decode(HttpResponse response) {
        try {
            return Result.ok(Long.parseLong(response.text().strip()));
        } catch (NumberFormatException e) {
            String detail = "status " + response.status();
            return Result.err(
                    Fault.failed(
                            FaultCode.PLATFORM_UNAVAILABLE, STEP, mBase.getAuthority(), detail));
        }
    }
}
