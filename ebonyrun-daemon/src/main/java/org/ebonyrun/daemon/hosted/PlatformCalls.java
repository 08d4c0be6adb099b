package org.ebonyrun.daemon.hosted;

import java.util.Map;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.duty.DutyRules;
import org.ebonyrun.core.usage.UsageTimes;
import org.ebonyrun.platform.PlatformDuties;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.store.SharedStore;
import org.jspecify.annotations.Nullable;

/**
 * The duties towards the platform that the settings name, and what this entry contributes to them.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PlatformCalls {
    // How long after the loss of a holder of the duties another entry has claimed the role: its
    // lease ends, and the watch of an idle entry tells so.
    private static final long MAX_CLAIM_MILLIS = EntryLease.TTL_MILLIS + 2_000;

    private final @Nullable DutyApi mApi;
    private final boolean mScales;
    private final @Nullable UsageRecorder mUsageRecorder;
    private final @Nullable UsageController mUsage;

    private PlatformCalls(
            @Nullable DutyApi api,
            boolean scales,
            @Nullable UsageRecorder usageRecorder,
            @Nullable UsageController usage) {
        mApi = api;
        mScales = scales;
        mUsageRecorder = usageRecorder;
        mUsage = usage;
    }

    /** Creates the holder of the duties of an entry. */
    static DutyHolder newHolder(
            HostedSettings settings,
            HostedContext context,
            SharedStore sharedStore,
            RandomGenerator random) {
        DutySettings duties = settings.duties();
        DutyRules rules =
                duties == null
                        ? new DutyRules(true, 0)
                        : new DutyRules(duties.fenced(), Nanos.ofMillis(duties.leaseMillis()));
        return new DutyHolder(context, sharedStore, rules, !settings.firstStart(), random);
    }

    /** Adds the planner and the duties that the settings name to the holder. */
    static PlatformCalls create(
            HostedContext context,
            SharedStore sharedStore,
            DutyHolder holder,
            PlannerController planner,
            AsyncHttpClient client,
            CallController calls,
            HostedSettings settings) {
        holder.add(planner);
        DutySettings duties = settings.duties();
        if (duties == null) {
            return new PlatformCalls(null, false, null, null);
        }
        DutyApi platform =
                PlatformDuties.create(
                        duties.address(),
                        settings.vm(),
                        client,
                        duties.callsPerSecond(),
                        MonotonicClock.system());
        DutyApi api = new DutyCalls(context, holder, platform);
        boolean scales = duties.has(DutySettings.SCALE);
        if (!duties.has(DutySettings.USAGE)) {
            return new PlatformCalls(api, scales, null, null);
        }
        long window = duties.usageWindowMillis();
        long quiet = duties.fenced() ? 0 : duties.leaseMillis();
        UsageTimes times =
                UsageTimes.of(window, duties.usageLateMillis(), MAX_CLAIM_MILLIS + quiet);
        UsageController usage = new UsageController(context, sharedStore, holder, api, times);
        holder.add(usage);
        UsageRecorder recorder = new UsageRecorder(context, sharedStore, window);
        calls.countUsageWith(recorder.counter());
        return new PlatformCalls(api, scales, recorder, usage);
    }

    /** Returns the interface through which endpoints are ordered; null if that is no duty. */
    @Nullable DutyApi scalingApi() {
        return mScales ? mApi : null;
    }

    void onTick() {
        if (mUsageRecorder != null) {
            mUsageRecorder.onTick(System.currentTimeMillis());
        }
    }

    /** Stores what this entry has counted, since it is about to end. */
    void flush() {
        if (mUsageRecorder != null) {
            mUsageRecorder.flush(System.currentTimeMillis());
        }
    }

    void addGauges(Map<String, Double> gauges) {
        if (mUsage != null) {
            gauges.put("ebonyrun_entry_usage_unanswered", (double) mUsage.unansweredCount());
        }
    }
}
