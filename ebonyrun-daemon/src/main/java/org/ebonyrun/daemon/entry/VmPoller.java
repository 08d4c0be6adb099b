package org.ebonyrun.daemon.entry;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.platform.vm.VmRecord;

/** Reads the platform's list of VMs now and again. Thread safe. */
final class VmPoller {
    private static final long PERIOD_MILLIS = 1_000;

    private final EntryContext mContext;

    VmPoller(EntryContext context) {
        mContext = context;
    }

    void start() {
        mContext.mTimer.scheduleWithFixedDelay(this::poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        mContext.mDirectory
                .list()
                .thenAccept(
                        result ->
                                result.map(
                                        records -> {
                                            hand(records);
                                            return true;
                                        }));
    }

    private void hand(List<VmRecord> records) {
        List<Peer> peers = records.stream().map(VmPoller::peer).toList();
        mContext.mMembershipDuty.post((machine, now) -> machine.onList(peers, now));
    }

    private static Peer peer(VmRecord vm) {
        return new Peer(
                vm.vm(),
                vm.role().equals(VmRecord.ROLE_ENDPOINT),
                vm.service(),
                vm.failureDomain(),
                vm.host(),
                vm.port(),
                vm.leaving());
    }
}
