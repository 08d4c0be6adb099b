package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;
import org.ebonyrun.core.step.RunOptions;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.SampleSpec;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepMachine;
import org.ebonyrun.core.step.StepOutputs;
import org.ebonyrun.core.step.StepSpec;
import org.ebonyrun.core.workspace.Workspaces;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResultWriterTest {
    private static final StepId STEP = StepId.of("step");
    private static final ServiceName ENGINES = ServiceName.of("engines");
    private static final long REVISION = 7;
    private static final long RUN = 1;
    private static final int CHECKPOINT_EVENTS = 12;

    /** A store that records transactions and never completes them. */
    private static final class FakeStore extends StubStore {
        final List<Transaction> mTransactions = new ArrayList<>();

        @Override
        public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
            mTransactions.add(transaction);
            return new CompletableFuture<>();
        }
    }

    /** The parts of an entry that a writer uses; the others fail. */
    private record FakeContext(Policy policy, EventLog log) implements HostedContext {
        @Override
        public long configurationReadAt() {
            return System.nanoTime();
        }

        @Override
        public MemoryAccount memory() {
            return MemoryAccount.unlimited();
        }

        @Override
        public Executor executor() {
            return Runnable::run;
        }

        @Override
        public HostedSettings settings() {
            throw new UnsupportedOperationException("settings");
        }

        @Override
        public void schedule(long nanos, Runnable task) {
            throw new UnsupportedOperationException("later");
        }

        @Override
        public StoreHealth storeHealth() {
            return new StoreHealth(
                    new StoreHealth.Listener() {
                        @Override
                        public void sendProbe(int round) {}

                        @Override
                        public void onUnavailable(String why) {}

                        @Override
                        public void onAvailable() {}
                    });
        }

        @Override
        public EntryMetrics metrics() {
            throw new UnsupportedOperationException("metrics");
        }

        @Override
        public EntryLease lease() {
            throw new UnsupportedOperationException("lease");
        }

        @Override
        public StepDirectory directory() {
            throw new UnsupportedOperationException("directory");
        }

        @Override
        public ProcessName self() {
            throw new UnsupportedOperationException("self");
        }

        @Override
        public void onEndpointLeaving(EndpointRecord endpoint) {
            throw new UnsupportedOperationException("onEndpointLeaving " + endpoint);
        }

        @Override
        public void onLimitNotice(EndpointRecord endpoint, LimitNotice notice, long sentAt) {
            throw new UnsupportedOperationException("onLimitNotice " + endpoint);
        }

        @Override
        public boolean hasConfiguration() {
            throw new UnsupportedOperationException("knowsRoutes");
        }

        @Override
        public Workspaces workspaces() {
            return Workspaces.none();
        }

        @Override
        public Optional<Route> routeOf(StepManifest manifest) {
            throw new UnsupportedOperationException("routeOf " + manifest);
        }

        @Override
        public void refreshRoutes(Consumer<Boolean> callback) {
            throw new UnsupportedOperationException("refreshRoutes");
        }
    }

    /** Ignores all outputs of the state machine. */
    private static final class NoOutputs implements StepOutputs {
        @Override
        public void startRun(
                long run,
                StepSpec step,
                SampleSpec sample,
                Endpoint endpoint,
                int lastEvent,
                RunOptions options) {}

        @Override
        public void cancelRun(long run, String reason) {}

        @Override
        public void startScoring(long run, StepSpec step, SampleSpec sample) {}

        @Override
        public void storeResults(
                StepId step, int position, List<SampleResult> results, boolean last) {}

        @Override
        public void onTextDiscarded(StepId step, SampleCheckpoint text, String reason) {
            // No sample runs here.
        }

        @Override
        public void onAbandoned(StepId step, String sample, String reason) {
            // No sample runs here.
        }

        @Override
        public void cancelScoring(long run, String reason) {
            // No sample runs here.
        }

        @Override
        public void onResultsListed(StepId step) {}
    }

    /** Owns every step. */
    private static final class AlwaysOwned implements ResultWriter.Ownership {
        @Override
        public boolean isCurrent(StepId id, OwnedStep owned) {
            return true;
        }

        @Override
        public void onLastResultsStored(StepId id) {}

        @Override
        public void onOwnershipLost(StepId id, String why) {}
    }

    private final FakeStore mStore = new FakeStore();
    private final OwnedStep mOwned = new OwnedStep(new OwnerKey(REVISION, 0));

    /** Returns a writer of a step whose only sample has generated a number of events. */
    private ResultWriter writer(Policy policy, int events) {
        Fleet fleet = Fleet.create();
        fleet.onRecord(
                new EndpointRecord(
                        "e",
                        0,
                        ENGINES,
                        InetSocketAddress.createUnresolved("10.0.0.1", 80),
                        FailureDomain.of("a"),
                        1,
                        false,
                        Map.of(),
                        ""));
        StepMachine machine = StepMachine.create(fleet, policy, new NoOutputs());
        SampleSpec sample = new SampleSpec("a", "/g", Map.of(), new byte[0], 1, "g", null);
        Route route =
                new Route(
                        "r",
                        "x",
                        "/",
                        RouteKind.STEPS,
                        List.of(new WeightedService(ENGINES, 1)),
                        new CallOptions(10_000, 500, 3, 0),
                        new StepOptions(7_500, 40_000, false));
        machine.onStepAcquired(
                new StepSpec(STEP, "x", "/", 1, "", 0, 1, List.of(sample)),
                route,
                List.of(),
                List.of(),
                0,
                0);
        for (int i = 1; i <= events; i++) {
            machine.onEvent(RUN, i, "d" + i, 1, 0);
        }
        EventLog log = EventLog.start(OutputStream.nullOutputStream());
        return new ResultWriter(
                new FakeContext(policy, log), new StepStore(mStore), machine, new AlwaysOwned());
    }

    private void tickAfterLastCheckpoint(ResultWriter writer, long millis) {
        writer.onTick(STEP, mOwned, mOwned.mLastCheckpointAt + Nanos.ofMillis(millis));
    }

    @ParameterizedTest
    @CsvSource({"12, 1", "11, 0"})
    void checkpointIsStoredOncePerIntervalIfTextIsLongEnough(int events, int stored) {
        ResultWriter writer = writer(Policy.ALL, events);
        tickAfterLastCheckpoint(writer, 799);
        assertThat(mStore.mTransactions.size(), is(0));
        tickAfterLastCheckpoint(writer, 800);
        tickAfterLastCheckpoint(writer, 799);

        assertThat(mStore.mTransactions.size(), is(stored));
    }

    @Test
    void noCheckpointIsStoredIfPolicyDisablesCheckpoints() {
        ResultWriter writer = writer(Policy.ALL.without(Mechanism.CHECKPOINTS), CHECKPOINT_EVENTS);
        tickAfterLastCheckpoint(writer, 10_000);

        assertThat(mStore.mTransactions.size(), is(0));
    }
}
