package org.ebonyrun.core.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;

class LeaseTest {
    private static final LeaseHolder SELF = new LeaseHolder(VmId.of("a"), 1, "10.0.0.1", 1);
    private static final LeaseHolder OTHER = new LeaseHolder(VmId.of("b"), 2, "10.0.0.2", 1);
    private static final long TTL = Nanos.ofMillis(Lease.TTL_MILLIS);

    private int mAcquires;
    private int mRenewals;
    private final Lease mLease =
            Lease.create(
                    "key",
                    SELF,
                    new LeaseOutputs() {
                        @Override
                        public void acquire(String key) {
                            mAcquires++;
                        }

                        @Override
                        public void renew(String key, long revision) {
                            mRenewals++;
                        }
                    });

    @Test
    void expiresOneTtlAfterItsRequestWasSent() {
        mLease.acquireIfDue(0);
        mLease.onRecord(new LeaseRecord(SELF, 9), Nanos.ofMillis(1_500));
        assertThat(mLease.fence(), is(9L));
        assertThat(mLease.isHeld(TTL - 1), is(true));
        assertThat(mLease.isHeld(TTL), is(false));
    }

    @Test
    void sendsOneRequestAtATime() {
        mLease.acquireIfDue(0);
        mLease.acquireIfDue(1);
        assertThat(mAcquires, is(1));
    }

    @Test
    void aHolderKeepsTheLeaseWhileTheServiceIsUnavailable() {
        mLease.acquireIfDue(0);
        mLease.onRecord(new LeaseRecord(SELF, 9), 0);
        mLease.renewIfDue(TTL / 2);
        mLease.onUnavailable(TTL / 2);
        assertThat(mRenewals, is(1));
        assertThat(mLease.isHeld(3 * TTL), is(true));
        mLease.onRenewalRefused(3 * TTL);
        assertThat(mLease.isHeld(3 * TTL), is(false));
    }

    @Test
    void aProcessWithoutTheLeaseDoesNotHoldItWhileTheServiceIsUnavailable() {
        mLease.acquireIfDue(0);
        mLease.onRecord(new LeaseRecord(OTHER, 8), 0);
        mLease.acquireIfDue(TTL);
        mLease.onUnavailable(TTL);
        assertThat(mLease.state(TTL), is(LeaseState.UNKNOWN));
    }

    @Test
    void theCachedOtherHolderExpires() {
        mLease.acquireIfDue(0);
        mLease.onRecord(new LeaseRecord(OTHER, 8), 0);
        assertThat(mLease.state(1), is(LeaseState.OTHER));
        assertThat(mLease.state(TTL), is(LeaseState.UNKNOWN));
    }
}
