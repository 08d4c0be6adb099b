package org.ebonyrun.standin.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.rollout.Sample;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;

/**
 * A trainer in virtual time: submits a step, pulls until it is complete, trains, publishes weights,
 * begins again. Repeats a request whose answer is lost, with the same cursor.
 *
 * <p>Not thread safe.
 */
public final class VirtualTrainer {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long TIMEOUT_NANOS = Nanos.ofMillis(8_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(200);
    private static final long WAIT_MILLIS = 2_000;

    private final VirtualDeployment mWorld;
    private final Options mPlan;
    private final List<VirtualSample> mSamples = new ArrayList<>();
    private final List<Long> mIdleNanos = new ArrayList<>();
    private long mVersion = 1;
    private long mStep = -1;
    private String mCursor = "";
    private long mToken;
    private int mTurn;
    private long mStepBegan;
    private boolean mStopping;
    private boolean mStopped;

    private VirtualTrainer(VirtualDeployment world, Options plan) {
        mWorld = world;
        mPlan = plan;
    }

    /**
     * How a trainer behaves.
     *
     * @param trainer its name
     * @param className the class of its steps
     * @param service the service whose weights it trains
     * @param groups prompts in a step
     * @param samplesPerGroup samples of each prompt
     * @param promptTokens tokens of each prompt
     * @param tokens gives the tokens of a group's samples, by a running number
     * @param trainMillis time that it trains on a step, in milliseconds
     * @param trainsWhilePulling whether it publishes a version after each answer with samples
     */
    public record Options(
            TrainerId trainer,
            ClassName className,
            ServiceName service,
            int groups,
            int samplesPerGroup,
            int promptTokens,
            IntUnaryOperator tokensPerSample,
            long trainMillis,
            boolean trainsWhilePulling) {
        /** Returns the number of samples in a step. */
        public int samplesPerStep() {
            return groups * samplesPerGroup;
        }
    }

    /** Creates a trainer; it starts with {@link #start}. */
    public static VirtualTrainer create(VirtualDeployment world, Options plan) {
        return new VirtualTrainer(world, plan);
    }

    /** Begins the first step. */
    public void start() {
        nextStep();
    }

    /** Lets the trainer end after the step that it is in. */
    public void stop() {
        mStopping = true;
    }

    /** Returns whether the trainer has ended. */
    public boolean isStopped() {
        return mStopped;
    }

    /** Returns how the trainer behaves. */
    public Options options() {
        return mPlan;
    }

    /** Returns the samples that arrived, in order. */
    public List<VirtualSample> samples() {
        return mSamples;
    }

    /** Returns how long the trainer waited for each completed step, in nanoseconds. */
    public List<Long> idleNanos() {
        return mIdleNanos;
    }

    private void nextStep() {
        if (mStopping) {
            mStopped = true;
            return;
        }
        mStep++;
        mCursor = "";
        mStepBegan = mWorld.mClock.now();
        submit();
    }

    private void submit() {
        List<PromptGroup> groups = new ArrayList<>();
        for (int group = 0; group < mPlan.groups(); group++) {
            int number = (int) mStep * mPlan.groups() + group;
            String prompt =
                    mPlan.trainer() + "/" + mStep + "/" + group + "#" + mPlan.promptTokens();
            int tokens = mPlan.tokensPerSample().applyAsInt(number);
            groups.add(new PromptGroup(prompt, mPlan.samplesPerGroup(), tokens));
        }
        StepManifest manifest =
                new StepManifest(mPlan.trainer(), mStep, mPlan.className(), mVersion, groups);
        ask(InjectionPoint.STEP_SUBMIT, new StepRequest.Submit(manifest));
    }

    private void pull() {
        ask(
                InjectionPoint.STEP_PULL,
                new StepRequest.Pull(
                        mPlan.trainer(),
                        mStep,
                        mCursor,
                        mVersion,
                        mPlan.samplesPerStep(),
                        WAIT_MILLIS));
    }

    private void ask(InjectionPoint step, StepRequest request) {
        long token = ++mToken;
        Runnable again = () -> retry(token, step, request);
        VirtualEntry entry = mWorld.selectEntry(mTurn++).orElse(null);
        if (entry == null) {
            mWorld.mClock.schedule(RETRY_NANOS, again);
            return;
        }
        mWorld.mClock.schedule(TIMEOUT_NANOS, again);
        mWorld.mClock.schedule(
                LATENCY_NANOS,
                () ->
                        mWorld.performWithFault(
                                step,
                                Participants.ofClient(entry, again),
                                () -> send(entry, token, step, request, again)));
    }

    private void send(
            VirtualEntry entry,
            long token,
            InjectionPoint step,
            StepRequest request,
            Runnable again) {
        if (!entry.isAlive()) {
            mWorld.mClock.schedule(LATENCY_NANOS, again);
            return;
        }
        entry.handleStepRequest(
                request,
                false,
                reply -> {
                    Runnable deliver =
                            () ->
                                    mWorld.mClock.schedule(
                                            LATENCY_NANOS,
                                            () -> onReply(token, step, request, reply));
                    if (request instanceof StepRequest.Pull) {
                        mWorld.performWithFault(
                                InjectionPoint.PULL_REPLY,
                                Participants.ofClient(entry, again),
                                deliver);
                    } else {
                        deliver.run();
                    }
                },
                again);
    }

    private void retry(long token, InjectionPoint step, StepRequest request) {
        if (token == mToken) {
            mToken++;
            mWorld.mClock.schedule(RETRY_NANOS, () -> ask(step, request));
        }
    }

    private void onReply(long token, InjectionPoint step, StepRequest request, StepReply reply) {
        if (token != mToken) {
            return;
        }
        if (reply.fault() != null) {
            retry(token, step, request);
            return;
        }
        mToken++;
        if (request instanceof StepRequest.Submit) {
            pull();
            return;
        }
        for (Sample sample : reply.samples()) {
            mSamples.add(
                    new VirtualSample(
                            mStep,
                            sample.slot(),
                            sample.text(),
                            sample.tokens(),
                            sample.versions().values(),
                            mVersion));
        }
        if (mPlan.trainsWhilePulling() && !reply.samples().isEmpty()) {
            publishNext();
        }
        mCursor = reply.cursor();
        if (reply.complete()) {
            mIdleNanos.add(mWorld.mClock.now() - mStepBegan);
            mWorld.mClock.schedule(Nanos.ofMillis(mPlan.trainMillis()), this::trained);
        } else {
            pull();
        }
    }

    private void trained() {
        publishNext();
        nextStep();
    }

    private void publishNext() {
        mVersion = Math.max(mVersion + 1, mWorld.latestVersion(mPlan.service()) + 1);
        mWorld.publish(mPlan.service(), mVersion);
    }
}
