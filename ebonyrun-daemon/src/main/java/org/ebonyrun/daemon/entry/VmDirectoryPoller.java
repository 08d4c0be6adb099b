package org.ebonyrun.daemon.entry;

import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.core.membership.Peer;
import org.ebonyrun.ports.vm.VmRecord;

/**
 * Polls the platform's list of VMs. The period grows with the length of the list, so that the
 * transferred bytes stay within the budget of a node's control traffic.
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
                        result -> schedule(result.fold(this::post, fault -> MIN_PERIOD_MILLIS)));
    }

    private void schedule(long periodMillis) {
        try {
            mContext.mTimer.schedule(this::start, periodMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException ignored) {
            // The timer has shut down because the entry is closing.
        }
    }

    /** Posts a list to the membership event loop; returns the delay before the next poll. */
    private long post(List<VmRecord> records) {
        List<Peer> peers = records.stream().map(VmDirectoryPoller::toPeer).toList();
        mContext.mMembershipLoop.post((machine, now) -> machine.onVmList(peers, now));
        long periodMillis = Math.max(MIN_PERIOD_MILLIS, records.size() * MILLIS_PER_VM);
        return Math.min(MAX_PERIOD_MILLIS, periodMillis);
    }

    private static Peer toPeer(VmRecord vm) {
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
