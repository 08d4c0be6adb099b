package org.ebonyrun.core.hedge;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;

/** A call that was sent at time zero and may be hedged, unless a test changes it. */
final class FakeOpenCall implements OpenCall {
    static final long TARGET_NANOS = Nanos.ofMillis(150);

    final Fleet mFleet = Fleet.create();
    String mEndpoint = "e1";
    boolean mBackground;
    boolean mIdempotent = true;
    boolean mMayRunAgain = true;
    boolean mHedged;
    boolean mCrashed;
    int mUseReads;
    ServiceUse mUse = new ServiceUse(0, 1, 12, false);

    FakeOpenCall() {
        mFleet.onRecord(EndpointFixtures.record("e1", 6, 1));
        mFleet.onRecord(EndpointFixtures.record("e2", 6, 1));
    }

    @Override
    public String route() {
        return "r";
    }

    @Override
    public ServiceName service() {
        return EndpointFixtures.SERVICE;
    }

    @Override
    public Endpoint endpoint() {
        return mFleet.get(mEndpoint);
    }

    @Override
    public long sentAt() {
        return 0;
    }

    @Override
    public long targetNanos() {
        return TARGET_NANOS;
    }

    @Override
    public boolean isBackground() {
        return mBackground;
    }

    @Override
    public boolean isIdempotent() {
        return mIdempotent;
    }

    @Override
    public boolean mayRunAgain() {
        return mMayRunAgain;
    }

    @Override
    public boolean wasHedged() {
        return mHedged;
    }

    @Override
    public boolean hasCrashed() {
        return mCrashed;
    }

    @Override
    public ServiceUse use() {
        mUseReads++;
        return mUse;
    }
}
