package org.ebonyrun.standin.virtual;

import java.util.function.Supplier;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.core.lease.LeaseListener;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.lease.LeaseRecord;

/** Acquires and renews leases for a state machine of a virtual entry. Not thread safe. */
final class VirtualLeaseOutputHandler implements LeaseOutputs {
    private final VirtualEntry mEntry;
    private final Supplier<LeaseListener> mMachine;

    VirtualLeaseOutputHandler(VirtualEntry entry, Supplier<LeaseListener> machine) {
        mEntry = entry;
        mMachine = machine;
    }

    @Override
    public void acquire(String key) {
        mEntry.mDeployment.performWithFault(
                InjectionPoint.LEASE_ACQUIRE, Participants.ofEntry(mEntry), () -> sendAcquire(key));
    }

    @Override
    public void renew(String key, long revision) {
        mEntry.mDeployment.performWithFault(
                InjectionPoint.LEASE_RENEW,
                Participants.ofEntry(mEntry),
                () -> sendRenew(key, revision));
    }

    private void sendAcquire(String key) {
        mEntry.whenDone(mEntry.mLeases.acquire(key), result -> onRecord(key, result));
    }

    private void onRecord(String key, Result<LeaseRecord> result) {
        result.fold(
                leaseRecord -> {
                    mMachine.get().onLeaseRecord(key, leaseRecord, mEntry.now());
                    return true;
                },
                fault -> {
                    mMachine.get().onLeaseUnavailable(key, mEntry.now());
                    return false;
                });
    }

    private void sendRenew(String key, long revision) {
        mEntry.whenDone(mEntry.mLeases.renew(key, revision), result -> onRenewed(key, result));
    }

    private void onRenewed(String key, Result<Boolean> result) {
        result.fold(
                granted -> {
                    mMachine.get().onLeaseRenewed(key, granted, mEntry.now());
                    return true;
                },
                fault -> {
                    mMachine.get().onLeaseUnavailable(key, mEntry.now());
                    return false;
                });
    }
}
