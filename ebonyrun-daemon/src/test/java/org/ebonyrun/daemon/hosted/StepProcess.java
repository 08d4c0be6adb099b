package org.ebonyrun.daemon.hosted;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;
import org.ebonyrun.core.step.RunOptions;
import org.ebonyrun.core.step.RunOutcome;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepOutputs;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.platform.StepDecoder;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;

/**
 * The part of an entry that owns steps, as one of several processes that share a store. Its watch
 * reads the store only when the test says so.
 *
 * <p>Not thread safe.
 */
final class StepProcess extends StubContext implements StepOutputs {
    /** Returned by a read that the store did not respond to. */
    static final int NO_RESPONSE = -1;

    private static final ServiceName ENGINES = ServiceName.of("engines");
    private static final String HOST = "x";
    private static final String PREFIX = "/";
    private static final Route ROUTE =
            new Route(
                    "r",
                    HOST,
                    PREFIX,
                    RouteKind.STEPS,
                    List.of(new WeightedService(ENGINES, 1)),
                    new CallOptions(10_000, 500, 3, 0),
                    new StepOptions(7_500, 40_000, false));

    private final Queue<Runnable> mTasks = new ArrayDeque<>();
    private final SharedStore mStore;
    private final ProcessName mName;
    private final MemoryAccount mMemory;
    private final StepDirectory mDirectory = new StepDirectory(log());
    private final EntryLease mLease;
    private final StepMachine mMachine;
    private final StepOwnership mOwnership;
    private final List<Runnable> mScheduled = new ArrayList<>();
    // By open run, its sample.
    private final Map<Long, String> mRuns = new TreeMap<>();
    private long mNow = System.nanoTime();

    StepProcess(String vm, SharedStore store, MemoryAccount memory) {
        mStore = store;
        mName = new ProcessName(VmId.of(vm), 1);
        mMemory = memory;
        mLease = new EntryLease(store, executor(), log(), () -> {});
        mMachine = StepMachine.create(fleet(), Policy.ALL, this);
        mOwnership = new StepOwnership(this, new StepStore(store), mMachine, new Random(1));
    }

    private static Fleet fleet() {
        Fleet fleet = Fleet.create();
        fleet.onRecord(
                new EndpointRecord(
                        "e",
                        0,
                        ENGINES,
                        InetSocketAddress.createUnresolved("10.0.0.1", 80),
                        FailureDomain.of("a"),
                        8,
                        false,
                        Map.of(),
                        ""));
        return fleet;
    }

    /** Returns a submission of samples that are called s0, s1 and so on, in groups of one. */
    static byte[] submission(int samples, int bodyChars) {
        StringBuilder json = new StringBuilder("{\"step\":0,\"group_count\":" + samples);
        json.append(",\"items\":[");
        for (int i = 0; i < samples; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"s" + i + "\",\"path\":\"/s" + i + "\",")
                    .append("\"body\":\"" + "A".repeat(bodyChars) + "\"}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Accepts a step as its trainer submits it; returns whether the store has it. */
    boolean accept(StepId id, byte[] submission) {
        MemoryClaim memory = mMemory.open(MemoryClass.STEP);
        StepSpec spec = StepDecoder.decode(id, HOST, PREFIX, submission, memory);
        List<Boolean> accepted = new ArrayList<>();
        mOwnership.accept(
                spec,
                submission,
                memory,
                result -> accepted.add(result.fold(is -> is, fault -> false)),
                System.nanoTime());
        runTasks();
        memory.release();
        return accepted.equals(List.of(true));
    }

    /** Submits a step that this process leaves to others at once. */
    boolean acceptAndHandOver(StepId id, byte[] submission) {
        boolean accepted = accept(id, submission);
        mOwnership.handOver();
        runTasks();
        return accepted;
    }

    /** Runs what the event loop has to do. */
    void runTasks() {
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            task.run();
        }
    }

    /**
     * Reads a snapshot of the live keys, as a watch does whose history is gone; returns whether the
     * store responded.
     */
    boolean readSnapshot() {
        Result<StorePage> page = mStore.range(StoreKeys.LIVE_PREFIX, "").join();
        List<StoreItem> items = page.fold(StorePage::items, fault -> null);
        if (items == null) {
            return false;
        }
        mDirectory.onSnapshot(items);
        items.forEach(
                item -> {
                    StepId id = StoreKeys.stepId(item.key());
                    mOwnership.onStatusChange(id, mDirectory.get(id));
                });
        return true;
    }

    /** Lets a second pass, in which steps are claimed and scheduled tasks are run. */
    void passSecond() {
        mNow += Nanos.PER_SECOND;
        mLease.onTick(mOwnership.needsLease(), mNow);
        runTasks();
        mOwnership.onTick(mDirectory.ownedOrClaimableBy(mName), mNow);
        List<Runnable> due = List.copyOf(mScheduled);
        mScheduled.clear();
        due.forEach(Runnable::run);
        runTasks();
    }

    /** Goes on after a time in which its lease has ended, which it learns first. */
    void thaw() {
        mNow += 60 * Nanos.PER_SECOND;
        mLease.onTick(true, mNow);
        runTasks();
    }

    /** Completes a number of runs, the earliest first. */
    void completeRuns(int count) {
        for (long run : mRuns.keySet().stream().limit(count).toList()) {
            // A result is stored at once if it is the last one, otherwise after some time.
            mNow += Nanos.PER_SECOND;
            long now = mNow;
            mMachine.onStreamStart(run, 1, now);
            mMachine.onEvent(run, 1, "text of " + mRuns.get(run), 1, now);
            mMachine.onRunEnd(run, RunOutcome.COMPLETE, now);
            mRuns.remove(run);
        }
        mMachine.onTick(mNow + Nanos.PER_SECOND);
        runTasks();
    }

    /** Returns how many samples run. */
    int runCount() {
        return mRuns.size();
    }

    /** Returns how many samples of a step run. */
    long runCount(StepId id) {
        return mRuns.values().stream().filter(sample -> sample.startsWith(id + "/")).count();
    }

    StepOwnership ownership() {
        return mOwnership;
    }

    /**
     * Reads a step without waiting.
     *
     * @param from the position of the first result to return
     * @return the number of results; {@link #NO_RESPONSE} if it could not be determined
     */
    int read(StepId id, int from, int samples) {
        List<Integer> read = new ArrayList<>();
        ResultReader reader =
                new ResultReader(mStore, mOwnership, executor(), () -> mNow, memory(), log());
        reader.read(
                id,
                samples,
                from,
                0,
                new ResultReader.Callback() {
                    @Override
                    public void onResults(List<SampleResult> results) {
                        read.add(results.size());
                    }

                    @Override
                    public void onFault(Fault fault) {
                        read.add(NO_RESPONSE);
                    }
                });
        reader.onTick(mNow);
        runTasks();
        return read.get(0);
    }

    @Override
    public Executor executor() {
        return mTasks::add;
    }

    @Override
    public HostedSettings settings() {
        return HostedSettings.parse("test", HostedSettingsTest.COMPLETE_SETTINGS).settings();
    }

    @Override
    public void schedule(long nanos, Runnable task) {
        mScheduled.add(task);
    }

    @Override
    public MemoryAccount memory() {
        return mMemory;
    }

    @Override
    public EntryLease lease() {
        return mLease;
    }

    @Override
    public StepDirectory directory() {
        return mDirectory;
    }

    @Override
    public ProcessName self() {
        return mName;
    }

    @Override
    public boolean hasConfiguration() {
        return true;
    }

    @Override
    public Optional<Route> routeOf(StepManifest manifest) {
        return Optional.of(ROUTE);
    }

    @Override
    public void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options) {
        mRuns.put(run, step.id() + "/" + sample.id());
    }

    @Override
    public void cancelRun(long run, String reason) {
        mRuns.remove(run);
    }

    @Override
    public void startScoring(long run, StepSpec step, SampleSpec sample) {}

    @Override
    public void cancelScoring(long run, String reason) {}

    @Override
    public void storeResults(StepId step, int position, List<SampleResult> results, boolean last) {
        mOwnership.append(step, position, results, last);
    }

    @Override
    public void onTextDiscarded(StepId step, SampleCheckpoint text, String reason) {}

    @Override
    public void onAbandoned(StepId step, String sample, String reason) {}

    @Override
    public void onResultsListed(StepId step) {}
}
