package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * The steps in the shared store and their owners, and the holder of the planner role, as last seen
 * by the watch on the live keys.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StepDirectory {
    private final EventLog mLog;
    private final Map<StepId, StepStatus> mSteps = new HashMap<>();
    private @Nullable StoreItem mPlanner;

    StepDirectory(EventLog log) {
        mLog = log;
    }

    /** Returns the status of a step; null if the step is not known. */
    @Nullable StepStatus get(StepId id) {
        return mSteps.get(id);
    }

    /** Returns the planner's key with its holder; null if the key is absent. */
    @Nullable StoreItem planner() {
        return mPlanner;
    }

    /** Returns the open steps that a process owns or may claim. */
    List<StepId> ownedOrClaimableBy(ProcessName self) {
        List<StepId> found = new ArrayList<>();
        mSteps.forEach(
                (id, step) -> {
                    if (step.isOwnedOrClaimableBy(self)) {
                        found.add(id);
                    }
                });
        return found;
    }

    /**
     * Returns the steps that were ended or are done.
     *
     * @param acceptedBefore only steps accepted before this time are returned, in Unix milliseconds
     */
    List<StepId> finishedSteps(long acceptedBefore) {
        List<StepId> finished = new ArrayList<>();
        mSteps.forEach(
                (id, step) -> {
                    StepManifest manifest = step.mManifest;
                    boolean old = manifest != null && manifest.acceptedAt() < acceptedBefore;
                    if (old && (step.mEnded || step.mDone)) {
                        finished.add(id);
                    }
                });
        return finished;
    }

    /**
     * Returns the newest step of the same trainer with a lower number than a manifest's, unless
     * every sample of it is listed; null if there is none.
     */
    @Nullable StepId findIncompletePredecessor(StepManifest manifest) {
        StepId predecessor = null;
        int highest = -1;
        for (Map.Entry<StepId, StepStatus> entry : mSteps.entrySet()) {
            StepManifest other = entry.getValue().mManifest;
            boolean newer =
                    other != null
                            && other.isOfSameTrainer(manifest)
                            && other.number() < manifest.number()
                            && other.number() > highest;
            if (newer) {
                highest = other.number();
                predecessor = entry.getValue().mDone ? null : entry.getKey();
            }
        }
        return predecessor;
    }

    /** Replaces the whole content by the items of a snapshot. */
    void onSnapshot(List<StoreItem> items) {
        mSteps.clear();
        mPlanner = null;
        items.forEach(item -> onChange(new StoreChange(item.key(), item.revision(), item)));
    }

    /**
     * Applies the change of one key. A value that can't be decoded is logged and skipped.
     *
     * @return the step that the key belongs to; null if it belongs to none or can't be decoded
     */
    @Nullable StepId onChange(StoreChange change) {
        String key = change.key();
        StoreItem item = change.item();
        if (key.equals(StoreKeys.PLANNER)) {
            mPlanner = item;
            return null;
        }
        if (!StoreKeys.isLiveStepKey(key)) {
            return null;
        }
        try {
            StepId id = StoreKeys.stepId(key);
            StepStatus step = mSteps.computeIfAbsent(id, ignored -> new StepStatus());
            apply(step, key, item);
            if (step.hasNoKeys()) {
                mSteps.remove(id);
            }
            return id;
        } catch (IllegalArgumentException e) {
            mLog.write(LogLine.of("store.unreadable").with("key", key).with("why", e.getMessage()));
            return null;
        }
    }

    private void apply(StepStatus step, String key, @Nullable StoreItem item) {
        switch (StoreKeys.part(key)) {
            case StoreKeys.MANIFEST ->
                    step.mManifest = item == null ? null : StepCodec.manifest(item.value());
            case StoreKeys.OWNER -> step.setOwner(item);
            case StoreKeys.END -> step.mEnded = item != null;
            case StoreKeys.DONE -> step.mDone = item != null;
            default -> mLog.write(LogLine.of("store.foreign").with("key", key));
        }
    }
}
