package org.ebonyrun.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.id.FailureDomain;

/**
 * Chooses the endpoint with the most free capacity, where the work starts soonest. Calls avoid an
 * endpoint that recently took more than twice as long per token as the fastest one, while another
 * endpoint has a free slot. Among endpoints with equal capacity, a call prefers the entry's own
 * failure domain, and a sample goes to the endpoint that rendezvous hashing selects for its prompt
 * prefix.
 *
 * <p>Immutable and thread safe.
 */
public final class LeastLoadChooser implements EndpointChooser {
    private static final double SLOWNESS_FACTOR = 2;

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
     * Creates a chooser that prefers affinity to load within a limit: a sample may go to an
     * endpoint with up to {@code slack} fewer free slots than the least loaded one if samples with
     * the same prompt prefix go there.
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
        Comparator<EndpointView> byFreeAndFast =
                Comparator.comparing(
                        view ->
                                view.freeSlots() > 0
                                        && view.millisPerToken(now) <= fastest * SLOWNESS_FACTOR);
        return candidates.stream()
                .max(
                        byFreeAndFast
                                .thenComparingInt(EndpointView::freeSlots)
                                .thenComparing(view -> view.failureDomain().equals(mDomain))
                                .thenComparing(EndpointView::vm));
    }

    private Optional<EndpointView> chooseForSample(Work work, List<EndpointView> candidates) {
        int maxSampleRoom = candidates.stream().mapToInt(EndpointView::sampleRoom).max().orElse(0);
        return candidates.stream()
                .filter(view -> view.sampleRoom() >= maxSampleRoom - mSlack)
                .max(Comparator.comparingLong(view -> affinityScore(work, view)));
    }

    private static long affinityScore(Work work, EndpointView view) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(work.affinity())
                .putString(view.vm().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
