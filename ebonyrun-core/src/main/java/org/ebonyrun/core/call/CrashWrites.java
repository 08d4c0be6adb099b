package org.ebonyrun.core.call;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The crash records that have to be written to the shared store or removed from it.
 *
 * <p>Answers outages of the store during which many calls break: the number of waiting writes is
 * bounded, and removals have room when other writes have none, since they unblock calls.
 *
 * <p>Invariants: one write is open for a call; a call counts as answered only while its removal
 * waits or is open.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class CrashWrites {
    private static final int MAX_OPEN = 2;
    private static final int MAX_WAITING = 1_024;
    private static final int MAX_WAITING_REMOVALS = 2 * MAX_WAITING;

    // The calls that wait, with the time from which on they may be written.
    private final Map<CallFingerprint, Long> mWaiting = new LinkedHashMap<>();
    private final Set<CallFingerprint> mOpen = new HashSet<>();
    private final Set<CallFingerprint> mAnswered = new HashSet<>();

    /** Adds a call whose record changed, unless too many wait. */
    public void add(CallFingerprint call, long dueAt) {
        if (mWaiting.containsKey(call) || mWaiting.size() < MAX_WAITING) {
            mWaiting.put(call, dueAt);
        }
    }

    /** Adds a call that was answered, whose record has to be removed, unless too many wait. */
    public void addAnswered(CallFingerprint call, long dueAt) {
        if (mWaiting.containsKey(call) || mWaiting.size() < MAX_WAITING_REMOVALS) {
            mWaiting.put(call, dueAt);
            mAnswered.add(call);
        }
    }

    /** Returns whether a call was answered here and the store has not taken its removal yet. */
    public boolean isAnswered(CallFingerprint call) {
        return mAnswered.contains(call);
    }

    /** Returns whether a write of a call waits or is open. */
    public boolean contains(CallFingerprint call) {
        return mWaiting.containsKey(call) || mOpen.contains(call);
    }

    /** Returns a call that may be written now, if any; it is open until it ends. */
    public Optional<CallFingerprint> startNext(long now) {
        if (mOpen.size() >= MAX_OPEN) {
            return Optional.empty();
        }
        Optional<CallFingerprint> next =
                mWaiting.entrySet().stream()
                        .filter(entry -> now - entry.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .filter(call -> !mOpen.contains(call))
                        .findFirst();
        next.ifPresent(
                call -> {
                    mWaiting.remove(call);
                    mOpen.add(call);
                });
        return next;
    }

    /** Handles the end of a write that took effect, or of one that was not necessary. */
    public void onDone(CallFingerprint call) {
        mOpen.remove(call);
        if (!mWaiting.containsKey(call)) {
            mAnswered.remove(call);
        }
    }

    /** Handles the end of a write that has to be repeated. */
    public void onRepeat(CallFingerprint call, long dueAt) {
        mOpen.remove(call);
        mWaiting.putIfAbsent(call, dueAt);
    }

    /** Returns the calls that wait or whose write is open. */
    public Set<CallFingerprint> calls() {
        Set<CallFingerprint> calls = new HashSet<>(mWaiting.keySet());
        calls.addAll(mOpen);
        return calls;
    }

    /** Returns the number of calls that count as answered. */
    int answeredCount() {
        return mAnswered.size();
    }
}
