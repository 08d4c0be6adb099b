package org.ebonyrun.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.time.Nanos;

/**
 * The owners of steps, as far as entries have announced them to the agent.
 *
 * <p>Invariant: the fence of a step never decreases until the step is removed.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
final class StepOwners {
    private static final long INACTIVITY_TIMEOUT_NANOS = Nanos.ofMillis(1_800_000);

    private final Map<StepKey, Owner> mOwners = new HashMap<>();

    /** A step of a trainer. */
    record StepKey(TrainerId trainer, long step) {
        static StepKey of(SampleKey key) {
            return new StepKey(key.trainer(), key.step());
        }
    }

    /** The link and fence of a step's newest owner, and when the owner was last active. */
    private record Owner(long link, long fence, long lastActiveAt) {}

    /** Returns whether a fence is below the highest one seen for a step. */
    boolean isFenced(StepKey step, long fence) {
        return fence < highestFence(step);
    }

    /** Returns the highest fence seen for a step; zero if none. */
    long highestFence(StepKey step) {
        Owner owner = mOwners.get(step);
        return owner == null ? 0 : owner.fence();
    }

    /** Sets the owner of a step. The caller has checked that the owner is not fenced. */
    void setOwner(StepKey step, long link, long fence, long now) {
        mOwners.put(step, new Owner(link, fence, now));
    }

    /** Records that the owner of a step is active. */
    void touch(StepKey step, long now) {
        mOwners.computeIfPresent(
                step, (ignored, owner) -> new Owner(owner.link(), owner.fence(), now));
    }

    void remove(StepKey step) {
        mOwners.remove(step);
    }

    /** Returns the link of a step's owner, or the fallback if the owner is unknown. */
    long ownerLink(StepKey step, long fallback) {
        Owner owner = mOwners.get(step);
        return owner == null ? fallback : owner.link();
    }

    /** Removes and returns the steps whose owners have been inactive for half an hour. */
    List<StepKey> removeInactive(long now) {
        List<StepKey> inactive = new ArrayList<>();
        mOwners.forEach(
                (step, owner) -> {
                    if (now - owner.lastActiveAt() >= INACTIVITY_TIMEOUT_NANOS) {
                        inactive.add(step);
                    }
                });
        inactive.forEach(mOwners::remove);
        return inactive;
    }
}
