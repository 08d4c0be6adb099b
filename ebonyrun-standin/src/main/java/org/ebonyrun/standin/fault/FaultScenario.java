package org.ebonyrun.standin.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.standin.virtual.EngineModel;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.ebonyrun.standin.virtual.PolicySet;
import org.ebonyrun.standin.virtual.VirtualAgent;
import org.ebonyrun.standin.virtual.VirtualCall;
import org.ebonyrun.standin.virtual.VirtualDeployment;
import org.ebonyrun.standin.virtual.VirtualEntry;
import org.ebonyrun.standin.virtual.VirtualRequest;
import org.ebonyrun.standin.virtual.VirtualTrainer;

/**
 * One run of all paths with injected faults: calls, non-idempotent calls, a trainer's steps, weight
 * swaps, concurrent configuration changes by two operators, the drain of an agent and of an entry.
 *
 * <p>Not thread safe; a run is a function of its seed and plan.
 */
public final class FaultScenario {
    static final String ENGINE_SERVICE = "model-servers";
    static final String PLAIN_SERVICE = "queue-app";
    static final long MAX_STALENESS = 2;
    static final int TOKENS_PER_PIECE = EngineModel.smallEngine(true).tokensPerPiece();

    private static final ClassName LOOKUP = ClassName.of("lookup");
    private static final ClassName SYNC = ClassName.of("sync");
    private static final long LOAD_END_NANOS = Nanos.ofMillis(30_000);
    private static final long RUN_END_NANOS = Nanos.ofMillis(110_000);
    private static final long LOOKUP_PERIOD_NANOS = Nanos.ofMillis(150);
    private static final long SYNC_PERIOD_NANOS = Nanos.ofMillis(400);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final int MAX_SYNC_ATTEMPTS = 3;
    private static final String CONFIG =
            """
            services:
              model-servers: {kind: engine}
              queue-app: {kind: plain}
            classes:
              lookup:
                service: model-servers
                kind: interactive
                lateness: {quantile: 0.99, within: %dms}
              sync:
                service: queue-app
                kind: background
                lateness: {quantile: 0.95, within: 2s}
                idempotent: false
              rollout:
                service: model-servers
                kind: rollout
                staleness: 2 versions
                trainer_idle: 5s
            """;

    private final long mSeed;
    private final FaultPlan mFaultPlan;
    private final VirtualDeployment mDeployment;
    private final Random mRandom;
    private final VirtualTrainer mTrainer;
    private final List<CallRecord> mCalls = new ArrayList<>();
    private final VirtualOperators mOperators;
    private int mNextNumber;
    private int mNextTurn;

    private FaultScenario(long seed, FaultPlan plan) {
        mSeed = seed;
        mFaultPlan = plan;
        mRandom = new Random(seed);
        mDeployment = VirtualDeployment.create(seed, plan, PolicySet.standard());
        mDeployment.addEntry("entry-1", "hall-a");
        mDeployment.addEntry("entry-2", "hall-b");
        mDeployment.addEntry("entry-3", "hall-c");
        for (int i = 0; i < 4; i++) {
            String domain = "hall-" + (char) ('a' + i % 3);
            mDeployment.addAgent(
                    "sampler-" + i, domain, ENGINE_SERVICE, EngineModel.smallEngine(i != 1));
        }
        mDeployment.addAgent("queue-0", "hall-a", PLAIN_SERVICE, EngineModel.smallService());
        mDeployment.addAgent("queue-1", "hall-b", PLAIN_SERVICE, EngineModel.smallService());
        mOperators = new VirtualOperators(mDeployment);
        mTrainer =
                VirtualTrainer.create(
                        mDeployment,
                        new VirtualTrainer.Options(
                                TrainerId.of("trainer"),
                                ClassName.of("rollout"),
                                ServiceName.of(ENGINE_SERVICE),
                                4,
                                2,
                                10,
                                number -> 30 + number * 7 % 40,
                                600,
                                true));
    }

    /** Runs the scenario with the faults of a plan and checks all guarantees. */
    public static FaultOutcome run(long seed, FaultPlan plan) {
        FaultScenario scenario = new FaultScenario(seed, plan);
        scenario.runWorkload();
        return scenario.audit();
    }

    private void runWorkload() {
        long start = mDeployment.clock().now();
        mDeployment.start();
        schedule(500, () -> mOperators.apply(0, CONFIG.formatted(1_000)));
        schedule(1_500, mTrainer::start);
        schedule(1_500, () -> runRepeatedly(start, LOOKUP_PERIOD_NANOS, this::sendLookup));
        schedule(1_600, () -> runRepeatedly(start, SYNC_PERIOD_NANOS, this::startSync));
        schedule(6_000, () -> mOperators.apply(1, CONFIG.formatted(1_100)));
        schedule(6_001, () -> mOperators.apply(2, CONFIG.formatted(1_200)));
        schedule(14_000, () -> mOperators.apply(1, CONFIG.formatted(1_300)));
        schedule(16_000, () -> drain(mDeployment.agents().get(3)));
        schedule(21_000, () -> drain(mDeployment.entries().get(2)));
        schedule(Nanos.toMillis(LOAD_END_NANOS), this::stopTrainer);
        mDeployment.clock().runUntil(start + RUN_END_NANOS);
    }

    /** Stops the trainer once it has completed the steps that the audit requires. */
    private void stopTrainer() {
        if (mTrainer.idleNanos().size() >= FaultAudit.MIN_STEPS) {
            mTrainer.stop();
        } else {
            schedule(Nanos.toMillis(RETRY_NANOS), this::stopTrainer);
        }
    }

    private FaultOutcome audit() {
        List<String> violations =
                new FaultAudit(mDeployment, mTrainer, mCalls, mOperators, mFaultPlan).check();
        int answered = (int) mCalls.stream().filter(call -> call.outcome().text() != null).count();
        return new FaultOutcome(
                mSeed,
                mFaultPlan.injectedCount(),
                mCalls.size(),
                answered,
                mTrainer.idleNanos().size(),
                violations);
    }

    private void schedule(long millis, Runnable action) {
        mDeployment.clock().schedule(Nanos.ofMillis(millis), action);
    }

    private void runRepeatedly(long start, long period, Runnable action) {
        if (mDeployment.clock().now() - start < LOAD_END_NANOS) {
            action.run();
            mDeployment.clock().schedule(period, () -> runRepeatedly(start, period, action));
        }
    }

    private void sendLookup() {
        int tokens = 5 + mRandom.nextInt(20);
        boolean idempotent = mRandom.nextInt(4) > 0;
        String prompt = "lookup-" + mNextNumber++;
        send(
                new VirtualCall(
                        LOOKUP, new VirtualRequest(prompt, prompt, 5, tokens), idempotent, null));
    }

    private void startSync() {
        String key = "sync-" + mNextNumber++;
        sendSync(key, 0);
    }

    private void sendSync(String key, int attempt) {
        String prompt = key + "/" + attempt;
        VirtualCall call =
                new VirtualCall(SYNC, new VirtualRequest(prompt, prompt, 0, 1), false, key);
        send(
                call,
                () -> {
                    if (attempt + 1 < MAX_SYNC_ATTEMPTS) {
                        mDeployment.clock().schedule(RETRY_NANOS, () -> sendSync(key, attempt + 1));
                    }
                });
    }

    private void send(VirtualCall call) {
        send(call, () -> {});
    }

    private void send(VirtualCall call, Runnable onNotAnswered) {
        long sentAt = mDeployment.clock().now();
        mDeployment.sendCall(
                mNextTurn++,
                call,
                outcome -> {
                    mCalls.add(
                            new CallRecord(
                                    call, sentAt, mDeployment.clock().now() - sentAt, outcome));
                    if (outcome.text() == null) {
                        onNotAnswered.run();
                    }
                });
    }

    private void drain(VirtualAgent agent) {
        mDeployment.drain(agent);
    }

    private void drain(VirtualEntry entry) {
        mDeployment.drain(entry);
    }
}
