package org.ebonyrun.daemon.hosted;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.usage.UsageLedger;
import org.ebonyrun.core.usage.UsageLedgerState;
import org.ebonyrun.core.usage.UsageTimes;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.duty.DutyReply;
import org.ebonyrun.ports.duty.UsageReport;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * The duty to report usage: adds up what the entries have counted, fixes the sums in the shared
 * store, and reports them to the platform.
 *
 * <p>Invariant: a report is sent only after the store has accepted it in a transaction that expects
 * the holder's fence, so each window has one content.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class UsageController implements Duty {
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    // Counts of older windows are of no use to any holder.
    private static final int OLD_WINDOWS = 24;
    private static final int MAX_REMOVALS = 10;

    /** The counts of one entry in the store. */
    private record EntryCounts(
            StoreItem item, SortedMap<Long, SortedMap<WorkspaceName, Long>> windows) {}

    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final DutyHolder mHolder;
    private final DutyApi mApi;
    private final UsageTimes mTimes;
    private final UsageLedger mLedger;
    // The sums of windows that this entry has fixed lately.
    private final TreeMap<Long, Long> mFixedSums = new TreeMap<>();
    private @Nullable DutyTerm mTerm;
    private long mReportRevision;
    private boolean mCallPending;
    private long mNextCallAt;

    UsageController(
            HostedContext context,
            SharedStore sharedStore,
            DutyHolder holder,
            DutyApi api,
            UsageTimes times) {
        mContext = context;
        mSharedStore = sharedStore;
        mHolder = holder;
        mApi = api;
        mTimes = times;
        mLedger = UsageLedger.create(times);
    }

    int unansweredCount() {
        return mLedger.unansweredCount();
    }

    @Override
    public void onAcquired(DutyTerm term, long now) {
        mTerm = term;
        mLedger.forget();
        mFixedSums.clear();
        mNextCallAt = now;
    }

    @Override
    public void onReleased() {
        mTerm = null;
        mLedger.forget();
    }

    @Override
    public void onTick(long now) {
        DutyTerm term = mTerm;
        if (term == null || !mContext.hasConfiguration()) {
            return;
        }
        long wallMillis = System.currentTimeMillis();
        if (!mCallPending && now - mNextCallAt >= 0) {
            if (!mLedger.isKnown()) {
                readState(term);
            } else if (mLedger.isFixDue(wallMillis)) {
                readCounts(term, "", new ArrayList<>());
            }
        }
        if (now - term.quietUntil() >= 0) {
            mLedger.takeDue(now).ifPresent(due -> send(term, due.getKey(), due.getValue(), now));
        }
    }

    private boolean isCurrent(DutyTerm term) {
        return term.equals(mTerm);
    }

    private void retryLater() {
        mNextCallAt = System.nanoTime() + RETRY_NANOS;
    }

    private void readState(DutyTerm term) {
        mCallPending = true;
        mSharedStore
                .get(StoreKeys.USAGE_FIXED)
                .thenAcceptAsync(
                        mContext.callback(result -> onState(term, result)), mContext.executor());
    }

    private void onState(DutyTerm term, Result<Optional<StoreItem>> result) {
        mCallPending = false;
        if (!isCurrent(term)) {
            return;
        }
        if (!result.isOk()) {
            retryLater();
            return;
        }
        Optional<StoreItem> item = result.fold(found -> found, fault -> Optional.empty());
        mReportRevision = item.map(StoreItem::revision).orElse(Transaction.ABSENT);
        if (item.isPresent()) {
            mLedger.onRead(decodeState(item.get()), System.currentTimeMillis());
        } else {
            mLedger.onNothingStored(System.currentTimeMillis());
        }
        mContext.log()
                .write(
                        LogLine.of("usage.begin")
                                .with("fence", term.fence())
                                .with("next", mLedger.nextWindow())
                                .with("unanswered", mLedger.unansweredCount()));
    }

    private Optional<UsageLedgerState> decodeState(StoreItem item) {
        try {
            return Optional.of(UsageCodec.decodeState(item.value()));
        } catch (IllegalArgumentException e) {
            logUnreadable(item, e);
            return Optional.empty();
        }
    }

    private void logUnreadable(StoreItem item, IllegalArgumentException e) {
        mContext.log()
                .write(
                        LogLine.of("store.unreadable")
                                .with("key", item.key())
                                .with("why", e.getMessage()));
    }

    private void readCounts(DutyTerm term, String after, List<StoreItem> items) {
        mCallPending = true;
        mSharedStore
                .range(StoreKeys.USAGE_COUNTS_PREFIX, after)
                .thenAcceptAsync(
                        mContext.callback(
                                result -> {
                                    mCallPending = false;
                                    if (!isCurrent(term)) {
                                        return;
                                    }
                                    result.fold(
                                            page -> {
                                                items.addAll(page.items());
                                                if (page.truncated() && !page.items().isEmpty()) {
                                                    String last = items.get(items.size() - 1).key();
                                                    readCounts(term, last, items);
                                                } else {
                                                    fix(term, items);
                                                }
                                                return page;
                                            },
                                            fault -> {
                                                retryLater();
                                                return null;
                                            });
                                }),
                        mContext.executor());
    }

    private void fix(DutyTerm term, List<StoreItem> items) {
        List<EntryCounts> entries = new ArrayList<>();
        for (StoreItem item : items) {
            try {
                entries.add(new EntryCounts(item, UsageCodec.decodeCounts(item.value())));
            } catch (IllegalArgumentException e) {
                logUnreadable(item, e);
            }
        }
        logLateCounts(entries);
        UsageLedgerState state =
                mLedger.fix(window -> sum(entries, window), System.currentTimeMillis());
        mCallPending = true;
        mSharedStore
                .commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, term.fence())
                                .expect(StoreKeys.USAGE_FIXED, mReportRevision)
                                .write(StoreKeys.USAGE_FIXED, UsageCodec.encode(state))
                                .build())
                .thenAcceptAsync(
                        mContext.callback(result -> onFixed(term, state, entries, result)),
                        mContext.executor());
    }

    private static SortedMap<WorkspaceName, Long> sum(List<EntryCounts> entries, long window) {
        TreeMap<WorkspaceName, Long> sum = new TreeMap<>();
        for (EntryCounts entry : entries) {
            entry.windows()
                    .getOrDefault(window, Collections.emptySortedMap())
                    .forEach((workspace, count) -> sum.merge(workspace, count, Long::sum));
        }
        return ImmutableSortedMap.copyOfSorted(sum);
    }

    private static long total(SortedMap<WorkspaceName, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Logs counts that arrived after their window had been fixed, which no report contains. */
    private void logLateCounts(List<EntryCounts> entries) {
        Map<Long, Long> changed = new HashMap<>();
        mFixedSums.forEach(
                (number, total) -> {
                    long window = number;
                    long fixed = total;
                    long sum = total(sum(entries, window));
                    // Entries forget windows after a while.
                    if (sum > fixed) {
                        changed.put(window, sum);
                        mContext.metrics().count(EntryMetrics.USAGE_WINDOWS, "late counts");
                        mContext.log()
                                .write(
                                        LogLine.of("usage.late")
                                                .with("window", window)
                                                .with("fixed", fixed)
                                                .with("counted", sum));
                    }
                });
        mFixedSums.putAll(changed);
    }

    private void onFixed(
            DutyTerm term,
            UsageLedgerState state,
            List<EntryCounts> entries,
            Result<CommitResult> result) {
        mCallPending = false;
        if (!isCurrent(term)) {
            return;
        }
        boolean committed = result.fold(CommitResult::isCommitted, fault -> false);
        if (committed) {
            mReportRevision = result.fold(CommitResult::revision, fault -> 0L);
            noteFixed(term, state, entries);
            mLedger.onFixed(state);
            removeOld(entries);
            return;
        }
        String why = result.fold(commit -> commit.outcome().name(), fault -> fault.detail());
        mContext.log()
                .write(
                        LogLine.of("usage.unfixed")
                                .with("next", mLedger.nextWindow())
                                .with("fence", term.fence())
                                .with("why", why));
        // The write may have taken effect: what the store has is read before anything is sent.
        mLedger.forget();
        retryLater();
        if (result.fold(commit -> isReplaced(term, commit), fault -> false)) {
            mHolder.onReplaced(term.fence(), "the store names another holder");
        }
    }

    /** Returns whether a failed transaction shows that the role's key has another revision. */
    private static boolean isReplaced(DutyTerm term, CommitResult commit) {
        return commit.outcome() == CommitOutcome.CONFLICT
                && commit.current().stream()
                        .noneMatch(
                                item ->
                                        item.key().equals(StoreKeys.PLANNER)
                                                && item.revision() == term.fence());
    }

    private void noteFixed(DutyTerm term, UsageLedgerState state, List<EntryCounts> entries) {
        SortedMap<Long, SortedMap<WorkspaceName, Long>> fixed =
                state.unanswered().tailMap(mLedger.nextWindow());
        for (Map.Entry<Long, SortedMap<WorkspaceName, Long>> window : fixed.entrySet()) {
            long number = window.getKey();
            long heard =
                    entries.stream().filter(entry -> entry.windows().containsKey(number)).count();
            mFixedSums.put(number, total(window.getValue()));
            mContext.metrics().count(EntryMetrics.USAGE_WINDOWS, "fixed");
            mContext.log()
                    .write(
                            LogLine.of("usage.fixed")
                                    .with("window", number)
                                    .with("calls", total(window.getValue()))
                                    .with("workspaces", window.getValue().size())
                                    .with("entries", heard)
                                    .with("age_ms", ageMillis(number))
                                    .with("fence", term.fence()));
        }
        mFixedSums.headMap(state.nextWindow() - OLD_WINDOWS).clear();
    }

    /** Returns how long ago a window ended. */
    private long ageMillis(long window) {
        return System.currentTimeMillis() - (window + 1) * mTimes.windowMillis();
    }

    private void removeOld(List<EntryCounts> entries) {
        long oldest = mLedger.nextWindow() - OLD_WINDOWS;
        Transaction.Builder removal = Transaction.builder();
        int removals = 0;
        for (EntryCounts entry : entries) {
            boolean old = entry.windows().isEmpty() || entry.windows().lastKey() < oldest;
            if (old && removals < MAX_REMOVALS) {
                removals++;
                removal.expect(entry.item().key(), entry.item().revision())
                        .remove(entry.item().key());
            }
        }
        if (removals > 0) {
            mSharedStore.commit(removal.build());
            mContext.log().write(LogLine.of("usage.forgotten").with("entries", removals));
        }
    }

    private void send(DutyTerm term, long window, SortedMap<WorkspaceName, Long> counts, long now) {
        mApi.reportUsage(term.fence(), new UsageReport(window, counts))
                .thenAcceptAsync(
                        mContext.callback(reply -> onReply(term, window, counts, reply, now)),
                        mContext.executor());
    }

    private void onReply(
            DutyTerm term,
            long window,
            SortedMap<WorkspaceName, Long> counts,
            DutyReply reply,
            long sentAt) {
        mLedger.onReply(window, reply == DutyReply.DONE, System.nanoTime());
        mContext.metrics().count(EntryMetrics.USAGE_WINDOWS, "report " + reply);
        mContext.log()
                .write(
                        LogLine.of("usage.report")
                                .with("window", window)
                                .with("calls", total(counts))
                                .with("age_ms", ageMillis(window))
                                .with("fence", term.fence())
                                .with("reply", reply)
                                .with("ms", Nanos.toMillis(System.nanoTime() - sentAt))
                                .with("unanswered", mLedger.unansweredCount())
                                .with("given_up", mLedger.givenUp()));
    }
}
