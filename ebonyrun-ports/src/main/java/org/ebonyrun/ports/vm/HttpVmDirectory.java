package org.ebonyrun.ports.vm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.Correlation;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;

/** Reads the list of VMs over HTTP and JSON. Thread safe. */
public final class HttpVmDirectory implements VmDirectory {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final AsyncHttpClient mClient;
    private final URI mBase;

    private HttpVmDirectory(AsyncHttpClient client, URI base) {
        mClient = client;
        mBase = base;
    }

    /** Creates a client of the service at {@code base}. */
    public static HttpVmDirectory create(AsyncHttpClient client, URI base) {
        return new HttpVmDirectory(client, base);
    }

    @Override
    public CompletableFuture<Result<List<VmRecord>>> list() {
        HttpRequest request =
                HttpRequest.of("GET", URI.create(mBase + "/vms"), TIMEOUT_MILLIS)
                        .withCorrelation(Correlation.byOrder());
        return mClient.request(request, "vm-list.GET")
                .thenApply(result -> result.flatMap(this::decode));
    }

    private Result<List<VmRecord>> decode(HttpResponse response) {
        try {
            return Result.ok(JSON.readValue(response.body(), new TypeReference<>() {}));
        } catch (IOException | RuntimeException e) {
            return Result.err(
                    Fault.failed(
                            FaultCode.PLATFORM_UNAVAILABLE,
                            "vm-list.GET",
                            mBase.getAuthority(),
                            "status " + response.status() + ": " + e.getMessage()));
        }
    }
}
