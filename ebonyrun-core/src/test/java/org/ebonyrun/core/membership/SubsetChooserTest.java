package org.ebonyrun.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SubsetChooserTest {
    private static final FailureDomain OWN = FailureDomain.of("hall-0");
    private static final VmId SELF = VmId.of("entry-1");
    private static final int SIZE = 16;

    @ParameterizedTest
    @ValueSource(ints = {5, 16, 100, 6_600})
    void choosesAtMostSizePeersFromAllDomains(int peers) {
        List<Peer> chosen = SubsetChooser.choose(SELF, OWN, peers(peers), SIZE);
        assertThat(chosen.size(), is(Math.min(peers, SIZE)));
        Set<FailureDomain> domains =
                chosen.stream().map(Peer::failureDomain).collect(Collectors.toSet());
        assertThat(domains.size(), greaterThanOrEqualTo(Math.min(peers, 4)));
    }

    @Test
    void choosesHalfOfThePeersInOwnDomain() {
        List<Peer> chosen = SubsetChooser.choose(SELF, OWN, peers(400), SIZE);
        long own = chosen.stream().filter(p -> p.failureDomain().equals(OWN)).count();
        assertThat(own, is(8L));
    }

    @Test
    void addsAtMostOnePeerWhenAPeerIsRemoved() {
        List<Peer> all = peers(400);
        Set<Peer> before = new HashSet<>(SubsetChooser.choose(SELF, OWN, all, SIZE));
        List<Peer> fewer = new ArrayList<>(all);
        fewer.remove(before.iterator().next());
        Set<Peer> after = new HashSet<>(SubsetChooser.choose(SELF, OWN, fewer, SIZE));
        after.removeAll(before);
        assertThat(after.size(), lessThanOrEqualTo(1));
    }

    @Test
    void spreadsEntriesOfEndpointsOverDomainsAndLinksOverEntries() {
        List<Peer> entries = peers(40);
        Map<VmId, Integer> links = new HashMap<>();
        for (Peer endpoint : peers(660)) {
            List<Peer> chosen =
                    SubsetChooser.choose(
                            VmId.of("endpoint-" + endpoint.vm()),
                            endpoint.failureDomain(),
                            entries,
                            4);
            Set<FailureDomain> domains =
                    chosen.stream().map(Peer::failureDomain).collect(Collectors.toSet());
            assertThat(chosen.size(), is(4));
            assertThat(domains.size(), greaterThanOrEqualTo(3));
            chosen.forEach(entry -> links.merge(entry.vm(), 1, Integer::sum));
        }
        int maxLinks = links.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(links.size(), is(40));
        assertThat(maxLinks, lessThanOrEqualTo(2 * 660 * 4 / 40));
    }

    private static List<Peer> peers(int count) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            FailureDomain domain = FailureDomain.of("hall-" + i % 4);
            peers.add(new Peer(VmId.of("vm-" + i), true, "models", domain, "10.0.0.1", 1, false));
        }
        return peers;
    }
}
