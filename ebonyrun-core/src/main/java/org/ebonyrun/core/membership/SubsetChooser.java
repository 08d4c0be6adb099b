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
 * Chooses a few peers for a VM by rendezvous hashing. The number of links of a VM then does not
 * grow with the fleet, and few links change when a peer is added or removed.
 *
 * <p>Stateless and thread safe.
 */
public final class SubsetChooser {
    private SubsetChooser() {}

    /**
     * Chooses at most {@code size} peers for a VM: half of them in its own failure domain, the rest
     * spread evenly over the other domains, so that the loss of any one domain leaves usable peers.
     */
    public static List<Peer> choose(
            VmId self, FailureDomain domain, Collection<Peer> peers, int size) {
        if (peers.size() <= size) {
            return List.copyOf(peers);
        }
        Map<FailureDomain, List<Peer>> byDomain = rankByDomain(self, peers);
        List<Peer> local = byDomain.remove(domain);
        List<Peer> chosen = new ArrayList<>();
        if (local != null) {
            chosen.addAll(local.subList(0, Math.min(local.size(), (size + 1) / 2)));
        }
        addRoundRobin(byDomain, chosen, size);
        if (local != null && chosen.size() < size) {
            int localCount = Math.min(local.size(), (size + 1) / 2);
            int localEnd = Math.min(local.size(), localCount + size - chosen.size());
            chosen.addAll(local.subList(localCount, localEnd));
        }
        return List.copyOf(chosen);
    }

    private static Map<FailureDomain, List<Peer>> rankByDomain(VmId self, Collection<Peer> peers) {
        Map<FailureDomain, List<Peer>> byDomain = new TreeMap<>();
        for (Peer peer : peers) {
            byDomain.computeIfAbsent(peer.failureDomain(), key -> new ArrayList<>()).add(peer);
        }
        Comparator<Peer> byScore =
                Comparator.comparingLong((Peer peer) -> score(self, peer.vm())).reversed();
        byDomain.values().forEach(list -> list.sort(byScore.thenComparing(Peer::vm)));
        return byDomain;
    }

    private static void addRoundRobin(
            Map<FailureDomain, List<Peer>> byDomain, List<Peer> chosen, int size) {
        boolean added = true;
        for (int rank = 0; added && chosen.size() < size; rank++) {
            added = false;
            for (List<Peer> list : byDomain.values()) {
                if (rank < list.size() && chosen.size() < size) {
                    chosen.add(list.get(rank));
                    added = true;
                }
            }
        }
    }

    private static long score(VmId self, VmId peer) {
        String pair = self.value() + '\0' + peer.value();
        return Hashing.murmur3_128().hashString(pair, StandardCharsets.UTF_8).asLong();
    }
}
