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
 * One run of every path under a plan of faults: calls, non-idempotent calls, a trainer's steps,
 * weight swaps, configuration changes by racing operators, the drain of an agent and of an entry.
 *
 * <p>Not thread safe; a run is a function of its seed and plan.
 */
public final class FaultScenario {
    static final String ENGINES = "model-servers";
    static final String PLAIN = "queue-app";
    static final long MAX_STALENESS = 2;
    static final int TOKENS_PER_PIECE = EngineModel.smallEngine(true).tokensPerPiece();

    private static final ClassName LOOKUP = ClassName.of("lookup");
    private static final ClassName SYNC = ClassName.of("sync");
    private static final long LOAD_END = Nanos.ofMillis(30_000);
    private static final long RUN_END = Nanos.ofMillis(110_000);
    private static final long LOOKUP_PERIOD = Nanos.ofMillis(150);
    private static final long SYNC_PERIOD = Nanos.ofMillis(400);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final int SYNC_TRIES = 3;
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
    private final FaultPlan mPlan;
    private final VirtualDeployment mWorld;
    private final Random mRandom;
    private final VirtualTrainer mTrainer;
    private final List<CallRecord> mCalls = new ArrayList<>();
    private final VirtualOperators mConfigs;
    private int mNumbers;
    private int mTurns;

    private FaultScenario(long seed, FaultPlan plan) {
        mSeed = seed;
        mPlan = plan;
        mRandom = new Random(seed);
        mWorld = VirtualDeployment.create(seed, plan, PolicySet.standard());
        mWorld.addEntry("entry-1", "hall-a");
        mWorld.addEntry("entry-2", "hall-b");
        mWorld.addEntry("entry-3", "hall-c");
        for (int i = 0; i < 4; i++) {
            String domain = "hall-" + (char) ('a' + i % 3);
            mWorld.addAgent("sampler-" + i, domain, ENGINES, EngineModel.smallEngine(i != 1));
        }
        mWorld.addAgent("queue-0", "hall-a", PLAIN, EngineModel.smallService());
        mWorld.addAgent("queue-1", "hall-b", PLAIN, EngineModel.smallService());
        mConfigs = new VirtualOperators(mWorld);
        mTrainer =
                VirtualTrainer.create(
                        mWorld,
                        new VirtualTrainer.Options(
                                TrainerId.of("trainer"),
                                ClassName.of("rollout"),
                                ServiceName.of(ENGINES),
                                4,
                                2,
                                10,
                                number -> 30 + number * 7 % 40,
                                600,
                                true));
    }

    /** Runs the scenario under a plan and checks every promise. */
    public static FaultOutcome run(long seed, FaultPlan plan) {
        FaultScenario scenario = new FaultScenario(seed, plan);
        scenario.play();
        return scenario.audit();
    }

    private void play() {
        long start = mWorld.clock().now();
        mWorld.start();
        at(500, () -> mConfigs.apply(0, CONFIG.formatted(1_000)));
        at(1_500, mTrainer::start);
        at(1_500, () -> repeat(start, LOOKUP_PERIOD, this::lookup));
        at(1_600, () -> repeat(start, SYNC_PERIOD, this::sync));
        at(6_000, () -> mConfigs.apply(1, CONFIG.formatted(1_100)));
        at(6_001, () -> mConfigs.apply(2, CONFIG.formatted(1_200)));
        at(14_000, () -> mConfigs.apply(1, CONFIG.formatted(1_300)));
        at(16_000, () -> drain(mWorld.agents().get(3)));
        at(21_000, () -> drain(mWorld.entries().get(2)));
        at(Nanos.toMillis(LOAD_END), this::stopTrainer);
        mWorld.clock().runUntil(start + RUN_END);
    }

    /** Stops the trainer once it has completed enough steps to judge. */
    private void stopTrainer() {
        if (mTrainer.idleNanos().size() >= FaultAudit.MIN_STEPS) {
            mTrainer.stop();
        } else {
            at(Nanos.toMillis(RETRY_NANOS), this::stopTrainer);
        }
    }

    private FaultOutcome audit() {
        List<String> broken = new FaultAudit(mWorld, mTrainer, mCalls, mConfigs, mPlan).check();
        int answered = (int) mCalls.stream().filter(call -> call.outcome().text() != null).count();
        return new FaultOutcome(
                mSeed,
                mPlan.injectedCount(),
                mCalls.size(),
                answered,
                mTrainer.idleNanos().size(),
                broken);
    }

    private void at(long millis, Runnable action) {
        mWorld.clock().schedule(Nanos.ofMillis(millis), action);
    }

    private void repeat(long start, long period, Runnable action) {
        if (mWorld.clock().now() - start < LOAD_END) {
            action.run();
            mWorld.clock().schedule(period, () -> repeat(start, period, action));
        }
    }

    private void lookup() {
        int tokens = 5 + mRandom.nextInt(20);
        boolean idempotent = mRandom.nextInt(4) > 0;
        String prompt = "lookup-" + mNumbers++;
        send(
                new VirtualCall(
                        LOOKUP, new VirtualRequest(prompt, prompt, 5, tokens), idempotent, null));
    }

    private void sync() {
        String key = "sync-" + mNumbers++;
        trySync(key, 0);
    }

    private void trySync(String key, int attempt) {
        String prompt = key + "/" + attempt;
        VirtualCall call =
                new VirtualCall(SYNC, new VirtualRequest(prompt, prompt, 0, 1), false, key);
        send(
                call,
                () -> {
                    if (attempt + 1 < SYNC_TRIES) {
                        mWorld.clock().schedule(RETRY_NANOS, () -> trySync(key, attempt + 1));
                    }
                });
    }

    private void send(VirtualCall call) {
        send(call, () -> {});
    }

    private void send(VirtualCall call, Runnable onNoAnswer) {
        long at = mWorld.clock().now();
        mWorld.sendCall(
                mTurns++,
                call,
                end -> {
                    mCalls.add(new CallRecord(call, at, mWorld.clock().now() - at, end));
                    if (end.text() == null) {
                        onNoAnswer.run();
                    }
                });
    }

    private void drain(VirtualAgent agent) {
        mWorld.drain(agent);
    }

    private void drain(VirtualEntry entry) {
        mWorld.drain(entry);
    }
}
