package org.ebonyrun.ports.weight;

import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Result;

/**
 * The platform's rate-limited store of weights. Only the newest version's number is read here;
 * endpoints fetch the weights themselves. Implementations are thread safe and never block.
 */
public interface WeightStore {
    /** Returns the newest version of a service's weights; zero if there is none. */
    CompletableFuture<Result<Long>> latestVersion(ServiceName service);

    /** Returns the address from which an endpoint fetches a version. */
    String source(ServiceName service, long version);
}
