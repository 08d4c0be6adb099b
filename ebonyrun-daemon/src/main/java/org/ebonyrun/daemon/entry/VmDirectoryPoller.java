package org.ebonyrun.daemon.entry;

import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.ports.vm.VmRecord;

/**
 * Reads the platform's list of VMs now and again: the longer the list, the less often, so that its
 * bytes stay within the budget of a node's control traffic.
 *
 * <p>Thread safe.
 */
final class VmDirectoryPoller {
    private static final long MIN_PERIOD_MILLIS = 1_000;
    private static final long MILLIS_PER_VM = 20;
    private static final long MAX_PERIOD_MILLIS = 120_000;

    private final EntryContext mContext;

    VmDirectoryPoller(EntryContext context) {
        mContext = context;
    }

    void start() {
        mContext.mVmDirectory
                .list()
                .thenAccept(
                        result -> schedule(result.fold(this::hand, fault -> MIN_PERIOD_MILLIS)));
    }

    private void schedule(long periodMillis) {
        try {
            mContext.mTimer.schedule(this::start, periodMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException ignored) {
            // The entry is closing.
        }
    }

    /** Hands a list to the membership duty and returns when to read the next. */
    private long hand(List<VmRecord> records) {
        List<Peer> peers = records.stream().map(VmDirectoryPoller::peer).toList();
        mContext.mMembershipLoop.post((machine, now) -> machine.onVmList(peers, now));
        long period = Math.max(MIN_PERIOD_MILLIS, records.size() * MILLIS_PER_VM);
        return Math.min(MAX_PERIOD_MILLIS, period);
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
