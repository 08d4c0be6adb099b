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
 * The steps that are kept in the shared store and who owns them, as the watch tells.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StepDirectory {
    private final EventLog mLog;
    private final Map<StepId, StepStatus> mSteps = new HashMap<>();
    private @Nullable StoreItem mPlanner;

    StepDirectory(EventLog log) {
        mLog = log;
    }

    /** Returns what is known of a step; null if nothing is. */
    @Nullable StepStatus get(StepId id) {
        return mSteps.get(id);
    }

    /** Returns the key of the planner; null if there is none. */
    @Nullable StoreItem planner() {
        return mPlanner;
    }

    /** Returns the open steps that a process owns or may take. */
    List<StepId> ownedOrClaimableBy(ProcessName self) {
        List<StepId> concerning = new ArrayList<>();
        mSteps.forEach(
                (id, step) -> {
                    if (step.isOwnedOrClaimableBy(self)) {
                        concerning.add(id);
                    }
                });
        return concerning;
    }

    /** Returns the steps that are over and were accepted before a time. */
    List<StepId> finishedSteps(long acceptedBefore) {
        List<StepId> over = new ArrayList<>();
        mSteps.forEach(
                (id, step) -> {
                    StepManifest manifest = step.mManifest;
                    boolean old = manifest != null && manifest.acceptedAt() < acceptedBefore;
                    if (old && (step.mEnded || step.mDone)) {
                        over.add(id);
                    }
                });
        return over;
    }

    /**
     * Returns the newest step of the same trainer before one with this manifest, if it ended before
     * every sample was listed; null if there is none.
     */
    @Nullable StepId findUnfinishedPredecessor(StepManifest manifest) {
        StepId before = null;
        int number = -1;
        for (Map.Entry<StepId, StepStatus> entry : mSteps.entrySet()) {
            StepManifest other = entry.getValue().mManifest;
            boolean newer =
                    other != null
                            && other.isOfSameTrainer(manifest)
                            && other.number() < manifest.number()
                            && other.number() > number;
            if (newer) {
                number = other.number();
                before = entry.getValue().mDone ? null : entry.getKey();
            }
        }
        return before;
    }

    void onSnapshot(List<StoreItem> items) {
        mSteps.clear();
        mPlanner = null;
        items.forEach(item -> onChange(new StoreChange(item.key(), item.revision(), item)));
    }

    /** Takes a change in; returns the step that it concerns, or null. */
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
            case StoreKeys.OWNER -> {
                step.mOwner = item == null ? null : item.text();
                step.mOwnerRevision = item == null ? 0 : item.revision();
            }
            case StoreKeys.END -> step.mEnded = item != null;
            case StoreKeys.DONE -> step.mDone = item != null;
            default -> mLog.write(LogLine.of("store.foreign").with("key", key));
        }
    }
}
