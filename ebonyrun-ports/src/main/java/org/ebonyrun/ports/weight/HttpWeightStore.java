package org.ebonyrun.ports.weight;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.http.HttpCall;
import org.ebonyrun.ports.http.HttpCaller;
import org.ebonyrun.ports.http.HttpReply;

/** Reads the newest weight version over HTTP. Thread safe. */
public final class HttpWeightStore implements WeightStore {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final String STEP = "weight-store.latest";

    private final HttpCaller mCaller;
    private final URI mBase;

    private HttpWeightStore(HttpCaller caller, URI base) {
        mCaller = caller;
        mBase = base;
    }

    /** Creates an adapter to the store at {@code base}. */
    public static HttpWeightStore create(HttpCaller caller, URI base) {
        return new HttpWeightStore(caller, base);
    }

    @Override
    public CompletableFuture<Result<Long>> latest(ServiceName service) {
        URI uri = URI.create(mBase + "/weights/" + service + "/latest");
        return mCaller.request(HttpCall.of("GET", uri, TIMEOUT_MILLIS), STEP)
                .thenApply(result -> result.flatMap(this::decode));
    }

    @Override
    public String source(ServiceName service, long version) {
        return mBase + "/weights/" + service + "/" + version;
    }

    private Result<Long> decode(HttpReply reply) {
        try {
            return Result.ok(Long.parseLong(reply.text().strip()));
        } catch (NumberFormatException e) {
            String detail = "status " + reply.status();
            return Result.err(
                    Fault.failed(
                            FaultCode.PLATFORM_UNAVAILABLE, STEP, mBase.getAuthority(), detail));
        }
    }
}
