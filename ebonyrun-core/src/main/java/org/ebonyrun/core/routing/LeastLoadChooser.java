package org.ebonyrun.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.id.FailureDomain;

/**
 * Chooses the endpoint with the most room, which is where the work starts soonest; among equals one
 * in the entry's own failure domain, then the one that rendezvous hashing gives to work with the
 * same prompt prefix.
 *
 * <p>Immutable and thread safe.
 */
public final class LeastLoadChooser implements EndpointChooser {
    private final FailureDomain mDomain;

    private LeastLoadChooser(FailureDomain domain) {
        mDomain = domain;
    }

    /** Creates a chooser for an entry in the given failure domain. */
    public static LeastLoadChooser create(FailureDomain domain) {
        return new LeastLoadChooser(domain);
    }

    @Override
    public Optional<EndpointView> choose(Work work, List<EndpointView> candidates) {
        Comparator<EndpointView> byRoom =
                Comparator.comparingInt(view -> work.isSample() ? view.sampleRoom() : view.free());
        return candidates.stream()
                .max(
                        byRoom.thenComparing(view -> view.failureDomain().equals(mDomain))
                                .thenComparingLong(view -> affinity(work, view)));
    }

    private static long affinity(Work work, EndpointView view) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(work.affinity())
                .putString(view.vm().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
