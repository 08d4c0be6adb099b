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
 * <p>Half of the offered tokens are calls that arrive at random; the other half are the steps of
 * trainers that train as long as their engines' share takes at load 1. Lengths are heavy-tailed.
 *
 * <p>Not thread safe; a run is a function of its seed.
 */
final class ExperimentRun {
    private static final long WARM_UP = Nanos.ofMillis(20_000);
    private static final long CALL_TIMEOUT_TOKENS = 4_000;
    private static final int SAMPLES_PER_GROUP = 4;
    private static final long TRAIN_MILLIS = 10_000;
    private static final double STEP_SECONDS = 20;
    private static final double CALL_SHARE = 0.5;
    private static final double LENGTH_SIGMA = 0.6;
    private static final double SLOW_FACTOR = 3;
    private static final long CRASH_NANOS = Nanos.ofMillis(20_000);
    private static final long OUTAGE_NANOS = Nanos.ofMillis(60_000);

    private final Deployment mDeployment;
    private final Scenario mScenario;
    private final long mLength;
    private final VirtualDeployment mWorld;
    private final Random mRandom;
    private final List<VirtualTrainer> mTrainers = new ArrayList<>();
    private final Histogram mLateness = new Histogram(3_600_000, 3);
    private final Set<String> mAnsweredRuns = new HashSet<>();
    private long mCalls;
    private long mInTime;
    private long mAnswered;
    private long mRefused;
    private int mTurn;

    ExperimentRun(
            Deployment deployment, Scenario scenario, PolicySet policy, long seed, int seconds) {
        mDeployment = deployment;
        mScenario = scenario;
        mLength = Nanos.ofMillis(seconds * 1_000L);
        mRandom = new Random(seed);
        mWorld = VirtualDeployment.create(seed, FaultPlan.none(), policy);
        for (String domain : deployment.domains()) {
            mWorld.addEntry("entry-" + domain, domain);
        }
        for (int i = 0; i < deployment.engineCount(); i++) {
            String domain = deployment.domains().get(i % deployment.domains().size());
            mWorld.addAgent(
                    "sampler-" + i, domain, deployment.engineService(), deployment.engineModel());
        }
        for (int i = 0; i < deployment.trainers(); i++) {
            mTrainers.add(trainer(i));
        }
    }

    /** Plays the run and returns its figures. */
    Figures run() {
        long start = mWorld.clock().now();
        mWorld.start();
        mWorld.clock()
                .schedule(
                        Nanos.ofMillis(500),
                        () -> mWorld.applyConfig(0, mDeployment.config(), "n", result -> {}));
        mWorld.clock()
                .schedule(Nanos.ofMillis(2_000), () -> mTrainers.forEach(VirtualTrainer::start));
        mWorld.clock().schedule(Nanos.ofMillis(2_000), () -> nextCall(start));
        mWorld.clock().schedule(WARM_UP + mLength / 3, this::strike);
        if (mScenario.injectedFault() == Scenario.InjectedFault.SLOW_ENGINE) {
            mWorld.slowEndpoint(mWorld.agents().get(0), SLOW_FACTOR);
        }
        mWorld.clock().runUntil(start + WARM_UP + mLength);
        return figures();
    }

    private VirtualTrainer trainer(int index) {
        double tokens =
                mScenario.load()
                        * (1 - CALL_SHARE)
                        * mDeployment.capacity()
                        * STEP_SECONDS
                        / mDeployment.trainers();
        int samples = (int) Math.round(tokens / Deployment.SAMPLE_TOKENS);
        int groups = Math.max(1, samples / SAMPLES_PER_GROUP);
        Random lengths = new Random(mRandom.nextLong());
        return VirtualTrainer.create(
                mWorld,
                new VirtualTrainer.Options(
                        TrainerId.of("trainer-" + index),
                        ClassName.of("rollout-" + index),
                        ServiceName.of(mDeployment.engineService()),
                        groups,
                        SAMPLES_PER_GROUP,
                        Deployment.PROMPT_TOKENS,
                        number -> length(lengths, Deployment.SAMPLE_TOKENS),
                        TRAIN_MILLIS,
                        false));
    }

    private void strike() {
        VirtualAgent first = mWorld.agents().get(0);
        switch (mScenario.injectedFault()) {
            case ENGINE_CRASH -> mWorld.crashEndpoint(first, CRASH_NANOS);
            case STORE_OUTAGE -> mWorld.startStoreOutage(OUTAGE_NANOS);
            case DOMAIN_LOST -> mWorld.failDomain(mDeployment.domains().get(0));
            default -> {
                // Nothing goes wrong at this moment.
            }
        }
    }

    private void nextCall(long start) {
        double perSecond =
                mScenario.load() * CALL_SHARE * mDeployment.capacity() / Deployment.CALL_TOKENS;
        double gap = -Math.log(1 - mRandom.nextDouble()) / perSecond;
        mWorld.clock()
                .schedule(
                        (long) (gap * Nanos.PER_SECOND),
                        () -> {
                            call(mWorld.clock().now() - start >= WARM_UP);
                            nextCall(start);
                        });
    }

    private void call(boolean counted) {
        String prompt = "call-" + mTurn;
        int tokens = length(mRandom, Deployment.CALL_TOKENS);
        long begin = mWorld.clock().now();
        VirtualCall call =
                new VirtualCall(
                        ClassName.of("lookup"),
                        new VirtualRequest(prompt, prompt, Deployment.CALL_TOKENS, tokens),
                        true,
                        null);
        mWorld.sendCall(mTurn++, call, end -> onEnd(end, begin, counted));
    }

    private void onEnd(CallOutcome end, long begin, boolean counted) {
        if (end.text() != null) {
            mAnsweredRuns.add(end.text().substring(0, end.text().indexOf(':')));
        }
        if (!counted) {
            return;
        }
        mCalls++;
        if (end.text() != null) {
            long millis = Nanos.toMillis(mWorld.clock().now() - begin);
            mAnswered++;
            mLateness.recordValue(Math.min(millis, 3_600_000));
            if (millis <= mDeployment.callTargetMillis()) {
                mInTime++;
            }
        } else if (end.isNotRun()) {
            mRefused++;
        }
    }

    private Figures figures() {
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
                share(mInTime, mAnswered),
                share(mRefused, mCalls),
                share(mCalls - mRefused - mAnswered, mCalls),
                mLateness.getValueAtPercentile(50),
                mLateness.getValueAtPercentile(99),
                steps == 0 ? Double.NaN : idle / steps / Nanos.PER_SECOND,
                steps,
                samples == 0 ? 0 : age / samples,
                maxAge,
                wasted());
    }

    private double wasted() {
        Set<String> wanted = new HashSet<>(mAnsweredRuns);
        for (VirtualTrainer trainer : mTrainers) {
            trainer.samples()
                    .forEach(s -> wanted.add(s.text().substring(0, s.text().indexOf(':'))));
        }
        long lost = 0;
        long all = 0;
        for (VirtualAgent agent : mWorld.agents()) {
            for (VirtualRun run : agent.engine().log()) {
                all += run.tokens();
                boolean ended = run.isFinished() || run.isStopped();
                boolean heldBack = run.isFinished() && run.prompt().startsWith("trainer-");
                if (ended && !heldBack && !wanted.contains(run.runId())) {
                    lost += run.tokens();
                }
            }
        }
        return share(lost, all);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    /** Draws a heavy-tailed length with the given mean. */
    private static int length(Random random, int mean) {
        double scale =
                Math.exp(LENGTH_SIGMA * random.nextGaussian() - LENGTH_SIGMA * LENGTH_SIGMA / 2);
        return (int) Math.max(1, Math.min(CALL_TIMEOUT_TOKENS, mean * scale));
    }
}
