package org.ebonyrun.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.id.FailureDomain;

/**
 * Chooses the endpoint with the most room, which is where the work starts soonest; calls avoid an
 * endpoint that lately took more than twice as long for a token as the fastest, while another has
 * room. Among endpoints with equal room, a call goes to the entry's own failure domain, and a
 * sample to the one that rendezvous hashing gives to its prompt prefix.
 *
 * <p>Immutable and thread safe.
 */
public final class LeastLoadChooser implements EndpointChooser {
    private static final double SLOWNESS = 2;

    private final FailureDomain mDomain;
    private final int mSlack;

    private LeastLoadChooser(FailureDomain domain, int slack) {
        mDomain = domain;
        mSlack = slack;
    }

    /** Creates a chooser for an entry in the given failure domain. */
    public static LeastLoadChooser create(FailureDomain domain) {
        return new LeastLoadChooser(domain, 0);
    }

    /**
     * Creates a chooser whose samples give up at most {@code slack} slots of room to go where those
     * of the same prompt prefix go.
     */
    public static LeastLoadChooser withSlack(FailureDomain domain, int slack) {
        return new LeastLoadChooser(domain, slack);
    }

    @Override
    public Optional<EndpointView> choose(Work work, List<EndpointView> candidates, long now) {
        if (work.isSample()) {
            return chooseForSample(work, candidates);
        }
        double fastest =
                candidates.stream()
                        .mapToDouble(view -> view.millisPerToken(now))
                        .filter(millis -> millis > 0)
                        .min()
                        .orElse(0);
        Comparator<EndpointView> bySpeed =
                Comparator.comparing(
                        view ->
                                view.freeSlots() > 0
                                        && view.millisPerToken(now) <= fastest * SLOWNESS);
        return candidates.stream()
                .max(
                        bySpeed.thenComparingInt(EndpointView::freeSlots)
                                .thenComparing(view -> view.failureDomain().equals(mDomain))
                                .thenComparing(EndpointView::vm));
    }

    private Optional<EndpointView> chooseForSample(Work work, List<EndpointView> candidates) {
        int most = candidates.stream().mapToInt(EndpointView::sampleRoom).max().orElse(0);
        return candidates.stream()
                .filter(view -> view.sampleRoom() >= most - mSlack)
                .max(Comparator.comparingLong(view -> affinity(work, view)));
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
