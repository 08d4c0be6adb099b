package org.ebonyrun.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;

/**
 * Chooses by rendezvous hashing a few peers for one VM, so that its number of links does not grow
 * with the fleet and few links change when a peer comes or goes.
 *
 * <p>Stateless and thread safe.
 */
public final class SubsetChooser {
    private SubsetChooser() {}

    /**
     * Chooses at most {@code size} peers for a VM: half of them in its own failure domain, the rest
     * spread evenly over the others, so that the loss of any one domain leaves a working part.
     */
    public static List<Peer> choose(
            VmId self, FailureDomain domain, Collection<Peer> peers, int size) {
        if (peers.size() <= size) {
            return List.copyOf(peers);
        }
        Map<FailureDomain, List<Peer>> byDomain = ranked(self, peers);
        List<Peer> own = byDomain.remove(domain);
        List<Peer> chosen = new ArrayList<>();
        if (own != null) {
            chosen.addAll(own.subList(0, Math.min(own.size(), (size + 1) / 2)));
        }
        takeRoundRobin(byDomain, chosen, size);
        if (own != null && chosen.size() < size) {
            int taken = Math.min(own.size(), (size + 1) / 2);
            int more = Math.min(own.size(), taken + size - chosen.size());
            chosen.addAll(own.subList(taken, more));
        }
        return List.copyOf(chosen);
    }

    private static Map<FailureDomain, List<Peer>> ranked(VmId self, Collection<Peer> peers) {
        Map<FailureDomain, List<Peer>> byDomain = new TreeMap<>();
        for (Peer peer : peers) {
            byDomain.computeIfAbsent(peer.failureDomain(), key -> new ArrayList<>()).add(peer);
        }
        Comparator<Peer> byScore =
                Comparator.comparingLong((Peer peer) -> score(self, peer.vm())).reversed();
        byDomain.values().forEach(list -> list.sort(byScore.thenComparing(Peer::vm)));
        return byDomain;
    }

    private static void takeRoundRobin(
            Map<FailureDomain, List<Peer>> byDomain, List<Peer> chosen, int size) {
        boolean took = true;
        for (int rank = 0; took && chosen.size() < size; rank++) {
            took = false;
            for (List<Peer> list : byDomain.values()) {
                if (rank < list.size() && chosen.size() < size) {
                    chosen.add(list.get(rank));
                    took = true;
                }
            }
        }
    }

    private static long score(VmId self, VmId peer) {
        String pair = self.value() + '\0' + peer.value();
        return Hashing.murmur3_128().hashString(pair, StandardCharsets.UTF_8).asLong();
    }
}
