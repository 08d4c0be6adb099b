package org.ebonyrun.standin.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.standin.virtual.CallOutcome;
import org.ebonyrun.standin.virtual.FaultPlan;
import org.ebonyrun.standin.virtual.PolicySet;
import org.ebonyrun.standin.virtual.VirtualAgent;
import org.ebonyrun.standin.virtual.VirtualCall;
import org.ebonyrun.standin.virtual.VirtualDeployment;
import org.ebonyrun.standin.virtual.VirtualRequest;
import org.ebonyrun.standin.virtual.VirtualRun;
import org.ebonyrun.standin.virtual.VirtualSample;
import org.ebonyrun.standin.virtual.VirtualTrainer;

/**
 * One run of a deployment under a scenario and a policy.
 *
 * <p>Half of the offered tokens belong to calls with random (Poisson) arrivals; the other half
 * belong to the steps of trainers. Training on a step takes 10 s, which is as long as the engines
 * at full throughput need for one step of each trainer at load 1. Lengths are heavy-tailed
 * (log-normal).
 *
 * <p>Not thread safe; a run is a function of its seed.
 */
final class ExperimentRun {
    private static final long WARM_UP_NANOS = Nanos.ofMillis(20_000);
    private static final long MAX_TOKENS = 4_000;
    private static final int SAMPLES_PER_GROUP = 4;
    private static final long TRAIN_MILLIS = 10_000;
    private static final double STEP_PERIOD_SECONDS = 20;
    private static final double CALL_SHARE = 0.5;
    private static final double LENGTH_SIGMA = 0.6;
    private static final double SLOW_FACTOR = 3;
    private static final long CRASH_NANOS = Nanos.ofMillis(20_000);
    private static final long OUTAGE_NANOS = Nanos.ofMillis(60_000);

    private final Deployment mDeployment;
    private final Scenario mScenario;
    private final long mDurationNanos;
    private final VirtualDeployment mVirtualDeployment;
    private final Random mRandom;
    private final List<VirtualTrainer> mTrainers = new ArrayList<>();
    private final Histogram mLatencyMillis = new Histogram(3_600_000, 3);
    private final Set<String> mAnsweredRunIds = new HashSet<>();
    private long mCalls;
    private long mCallsInTime;
    private long mAnsweredCalls;
    private long mRefusedCalls;
    private int mNextTurn;

    ExperimentRun(
            Deployment deployment, Scenario scenario, PolicySet policies, long seed, int seconds) {
        mDeployment = deployment;
        mScenario = scenario;
        mDurationNanos = Nanos.ofMillis(seconds * 1_000L);
        mRandom = new Random(seed);
        mVirtualDeployment = VirtualDeployment.create(seed, FaultPlan.none(), policies);
        for (String domain : deployment.domains()) {
            mVirtualDeployment.addEntry("entry-" + domain, domain);
        }
        for (int i = 0; i < deployment.engineCount(); i++) {
            String domain = deployment.domains().get(i % deployment.domains().size());
            mVirtualDeployment.addAgent(
                    "sampler-" + i, domain, deployment.engineService(), deployment.engineModel());
        }
        for (int i = 0; i < deployment.trainers(); i++) {
            mTrainers.add(createTrainer(i));
        }
    }

    /** Simulates the run and returns its figures. */
    Figures run() {
        long start = mVirtualDeployment.clock().now();
        mVirtualDeployment.start();
        mVirtualDeployment
                .clock()
                .schedule(
                        Nanos.ofMillis(500),
                        () ->
                                mVirtualDeployment.applyConfig(
                                        0, mDeployment.config(), "n", result -> {}));
        mVirtualDeployment
                .clock()
                .schedule(Nanos.ofMillis(2_000), () -> mTrainers.forEach(VirtualTrainer::start));
        mVirtualDeployment.clock().schedule(Nanos.ofMillis(2_000), () -> scheduleNextCall(start));
        mVirtualDeployment.clock().schedule(WARM_UP_NANOS + mDurationNanos / 3, this::injectFault);
        if (mScenario.injectedFault() == Scenario.InjectedFault.SLOW_ENGINE) {
            mVirtualDeployment.slowEndpoint(mVirtualDeployment.agents().get(0), SLOW_FACTOR);
        }
        mVirtualDeployment.clock().runUntil(start + WARM_UP_NANOS + mDurationNanos);
        return computeFigures();
    }

    private VirtualTrainer createTrainer(int index) {
        double tokens =
                mScenario.load()
                        * (1 - CALL_SHARE)
                        * mDeployment.capacity()
                        * STEP_PERIOD_SECONDS
                        / mDeployment.trainers();
        int samples = (int) Math.round(tokens / Deployment.SAMPLE_TOKENS);
        int groups = Math.max(1, samples / SAMPLES_PER_GROUP);
        Random lengths = new Random(mRandom.nextLong());
        return VirtualTrainer.create(
                mVirtualDeployment,
                new VirtualTrainer.Options(
                        TrainerId.of("trainer-" + index),
                        ClassName.of("rollout-" + index),
                        ServiceName.of(mDeployment.engineService()),
                        groups,
                        SAMPLES_PER_GROUP,
                        Deployment.PROMPT_TOKENS,
                        number -> drawLength(lengths, Deployment.SAMPLE_TOKENS),
                        TRAIN_MILLIS,
                        false));
    }

    private void injectFault() {
        VirtualAgent first = mVirtualDeployment.agents().get(0);
        switch (mScenario.injectedFault()) {
            case ENGINE_CRASH -> mVirtualDeployment.crashEndpoint(first, CRASH_NANOS);
            case STORE_OUTAGE -> mVirtualDeployment.startStoreOutage(OUTAGE_NANOS);
            case DOMAIN_LOST -> mVirtualDeployment.failDomain(mDeployment.domains().get(0));
            default -> {
                // The other faults are not injected at this time.
            }
        }
    }

    private void scheduleNextCall(long start) {
        double perSecond =
                mScenario.load() * CALL_SHARE * mDeployment.capacity() / Deployment.CALL_TOKENS;
        double gap = -Math.log(1 - mRandom.nextDouble()) / perSecond;
        mVirtualDeployment
                .clock()
                .schedule(
                        (long) (gap * Nanos.PER_SECOND),
                        () -> {
                            sendCall(mVirtualDeployment.clock().now() - start >= WARM_UP_NANOS);
                            scheduleNextCall(start);
                        });
    }

    private void sendCall(boolean measured) {
        String prompt = "call-" + mNextTurn;
        int tokens = drawLength(mRandom, Deployment.CALL_TOKENS);
        long sentAt = mVirtualDeployment.clock().now();
        VirtualCall call =
                new VirtualCall(
                        ClassName.of("lookup"),
                        new VirtualRequest(prompt, prompt, Deployment.CALL_TOKENS, tokens),
                        true,
                        null);
        mVirtualDeployment.sendCall(
                mNextTurn++, call, outcome -> onOutcome(outcome, sentAt, measured));
    }

    private void onOutcome(CallOutcome outcome, long sentAt, boolean measured) {
        if (outcome.text() != null) {
            mAnsweredRunIds.add(outcome.text().substring(0, outcome.text().indexOf(':')));
        }
        if (!measured) {
            return;
        }
        mCalls++;
        if (outcome.text() != null) {
            long millis = Nanos.toMillis(mVirtualDeployment.clock().now() - sentAt);
            mAnsweredCalls++;
            mLatencyMillis.recordValue(Math.min(millis, 3_600_000));
            if (millis <= mDeployment.callTargetMillis()) {
                mCallsInTime++;
            }
        } else if (outcome.isNotRun()) {
            mRefusedCalls++;
        }
    }

    private Figures computeFigures() {
        double idle = 0;
        long steps = 0;
        double age = 0;
        long samples = 0;
        long maxAge = 0;
        for (VirtualTrainer trainer : mTrainers) {
            steps += trainer.idleNanos().size();
            idle += trainer.idleNanos().stream().mapToLong(Long::longValue).sum();
            for (VirtualSample sample : trainer.samples()) {
                samples++;
                age += sample.age();
                maxAge = Math.max(maxAge, sample.age());
            }
        }
        return new Figures(
                share(mCallsInTime, mAnsweredCalls),
                share(mRefusedCalls, mCalls),
                share(mCalls - mRefusedCalls - mAnsweredCalls, mCalls),
                mLatencyMillis.getValueAtPercentile(50),
                mLatencyMillis.getValueAtPercentile(99),
                steps == 0 ? Double.NaN : idle / steps / Nanos.PER_SECOND,
                steps,
                samples == 0 ? 0 : age / samples,
                maxAge,
                wastedShare());
    }

    /**
     * Returns the share of generated tokens whose run has ended without a delivery. Finished
     * samples don't count as wasted, because their trainer may still pull them.
     */
    private double wastedShare() {
        Set<String> deliveredRunIds = new HashSet<>(mAnsweredRunIds);
        for (VirtualTrainer trainer : mTrainers) {
            trainer.samples()
                    .forEach(
                            s -> deliveredRunIds.add(s.text().substring(0, s.text().indexOf(':'))));
        }
        long wastedTokens = 0;
        long allTokens = 0;
        for (VirtualAgent agent : mVirtualDeployment.agents()) {
            for (VirtualRun run : agent.engine().log()) {
                allTokens += run.tokens();
                boolean ended = run.isFinished() || run.isStopped();
                boolean finishedSample = run.isFinished() && run.prompt().startsWith("trainer-");
                if (ended && !finishedSample && !deliveredRunIds.contains(run.runId())) {
                    wastedTokens += run.tokens();
                }
            }
        }
        return share(wastedTokens, allTokens);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    /**
     * Draws a log-normal length, capped at {@link #MAX_TOKENS}, whose mean is about the given one.
     */
    private static int drawLength(Random random, int mean) {
        double scale =
                Math.exp(LENGTH_SIGMA * random.nextGaussian() - LENGTH_SIGMA * LENGTH_SIGMA / 2);
        return (int) Math.max(1, Math.min(MAX_TOKENS, mean * scale));
    }
}
