package org.ebonyrun.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MembershipMachineTest {
    private static final VmId VM = VmId.of("vm");
    private static final FailureDomain DOMAIN = FailureDomain.of("hall-a");
    private static final long SECOND = Nanos.PER_SECOND;

    private final List<String> mActions = new ArrayList<>();
    private final MembershipMachine mMachine =
            MembershipMachine.create(
                    VmId.of("self"),
                    DOMAIN,
                    8,
                    new Random(1),
                    new MembershipOutputs() {
                        @Override
                        public void connect(Peer peer) {
                            mActions.add("connect");
                        }

                        @Override
                        public void disconnect(VmId vm) {
                            mActions.add("disconnect");
                        }

                        @Override
                        public void sendHeartbeat(VmId vm) {}

                        @Override
                        public void setUsable(Peer peer, boolean usable) {
                            mActions.add(usable ? "usable" : "unusable");
                        }
                    });

    @BeforeEach
    void connectPeer() {
        mMachine.onVmList(List.of(peer(false)), 0);
        mMachine.onConnected(VM, 0);
        assertThat(mActions, contains("connect", "usable"));
        mActions.clear();
    }

    @Test
    void silentPeerIsUnusableAndIsDisconnectedLater() {
        mMachine.onTick(3 * SECOND);
        assertThat(mActions, contains("unusable"));
        mMachine.onMessageReceived(VM, false, 3 * SECOND);
        assertThat(mActions, contains("unusable", "usable"));
        mActions.clear();
        mMachine.onTick(13 * SECOND);
        assertThat(mActions, contains("disconnect", "unusable"));
    }

    @Test
    void peerThatReportsLeavingIsUnusable() {
        mMachine.onMessageReceived(VM, true, SECOND);
        mMachine.onMessageReceived(VM, false, SECOND);
        assertThat(mActions, contains("unusable"));
    }

    @Test
    void peerListedAsLeavingIsUnusable() {
        mMachine.onVmList(List.of(peer(true)), SECOND);
        assertThat(mActions, contains("unusable"));
    }

    @Test
    void unlistedPeerStaysConnectedWhileItSendsMessages() {
        mMachine.onVmList(List.of(), SECOND);
        mMachine.onMessageReceived(VM, false, SECOND);
        assertThat(mActions, empty());
        assertThat(mMachine.findPeer(VM) != null, is(true));
        mMachine.onDisconnected(VM, 2 * SECOND);
        mMachine.onTick(3 * SECOND);
        assertThat(mMachine.findPeer(VM) == null, is(true));
    }

    @Test
    void reconnectsAfterBackoff() {
        mMachine.onDisconnected(VM, SECOND);
        mMachine.onTick(SECOND);
        assertThat(mActions, contains("unusable"));
        mMachine.onTick(2 * SECOND);
        assertThat(mActions, contains("unusable", "connect"));
    }

    @Test
    void reconnectsWhenAnotherVmRespondsAtTheAddress() {
        mMachine.onDisconnected(VM, SECOND);
        mMachine.onTick(2 * SECOND);
        mMachine.onConnected(VmId.of("stranger"), 2 * SECOND);
        mActions.clear();
        mMachine.onTick(7 * SECOND);
        mMachine.onTick(8 * SECOND);
        assertThat(mActions, contains("connect"));
    }

    @Test
    void endpointReassignedToOtherEntriesIsUnusableAndIsDisconnectedLater() {
        List<Peer> list = fleet(200, 400);
        list.add(peer(false));
        mMachine.onVmList(list, SECOND);
        assertThat(mActions.contains("unusable"), is(true));
        assertThat(mActions.contains("disconnect"), is(false));
        for (long second = 2; second < 602; second++) {
            mMachine.onMessageReceived(VM, false, second * SECOND);
            mMachine.onTick(second * SECOND);
        }
        assertThat(mActions.contains("disconnect"), is(true));
    }

    @Test
    void everyEntryConnectsToASmallServiceOfALargeFleet() {
        mMachine.onVmList(fleet(400, 3), SECOND);
        long endpoints =
                mMachine.dump(SECOND).stream().filter(p -> p.service().equals("models")).count();
        assertThat(endpoints, is(4L));
    }

    private static List<Peer> fleet(int entries, int endpoints) {
        List<Peer> list = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            VmId vm = VmId.of("entry-" + i);
            list.add(new Peer(vm, false, "", DOMAIN, "10.0.0.2", 1, false));
        }
        for (int i = 0; i < endpoints; i++) {
            VmId vm = VmId.of("endpoint-" + i);
            list.add(new Peer(vm, true, "models", DOMAIN, "10.0.0.3", 1, false));
        }
        return list;
    }

    private static Peer peer(boolean leaving) {
        return new Peer(VM, true, "models", DOMAIN, "10.0.0.1", 1, leaving);
    }
}
