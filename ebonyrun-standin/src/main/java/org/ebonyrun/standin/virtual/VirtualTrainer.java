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
 * A trainer in virtual time. In a loop, it submits a step, pulls until the step is complete,
 * trains, and publishes new weights. It repeats a request whose response is lost, with the same
 * cursor.
 *
 * <p>Not thread safe.
 */
public final class VirtualTrainer {
    private static final long LATENCY_NANOS = Nanos.ofMillis(1);
    private static final long TIMEOUT_NANOS = Nanos.ofMillis(8_000);
    private static final long RETRY_NANOS = Nanos.ofMillis(200);
    private static final long PULL_WAIT_MILLIS = 2_000;

    private final VirtualDeployment mDeployment;
    private final Options mOptions;
    private final List<VirtualSample> mSamples = new ArrayList<>();
    private final List<Long> mIdleNanos = new ArrayList<>();
    private long mVersion = 1;
    private long mStep = -1;
    private String mCursor = "";
    private long mRequestId;
    private int mNextTurn;
    private long mStepStartedAt;
    private boolean mStopping;
    private boolean mStopped;

    private VirtualTrainer(VirtualDeployment deployment, Options options) {
        mDeployment = deployment;
        mOptions = options;
    }

    /**
     * The options of a trainer.
     *
     * @param trainer the ID of the trainer
     * @param className the class of its steps
     * @param service the service whose weights it trains
     * @param groups number of prompts in a step
     * @param samplesPerGroup number of samples of each prompt
     * @param promptTokens number of tokens of each prompt
     * @param tokensPerSample returns the length of the samples of a group, in tokens; its argument
     *     is the number of the group, counted over all steps
     * @param trainMillis training time per step, in milliseconds
     * @param trainsWhilePulling whether it publishes a version after each response with samples
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

    /** Creates a trainer; {@link #start} starts it. */
    public static VirtualTrainer create(VirtualDeployment deployment, Options options) {
        return new VirtualTrainer(deployment, options);
    }

    /** Starts the first step. */
    public void start() {
        nextStep();
    }

    /** Stops the trainer after its current step. */
    public void stop() {
        mStopping = true;
    }

    /** Returns whether the trainer has stopped. */
    public boolean isStopped() {
        return mStopped;
    }

    /** Returns the options of the trainer. */
    public Options options() {
        return mOptions;
    }

    /** Returns the received samples in the order of their arrival. */
    public List<VirtualSample> samples() {
        return mSamples;
    }

    /** Returns the time that the trainer waited for each completed step, in nanoseconds. */
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
        mStepStartedAt = mDeployment.mClock.now();
        submit();
    }

    private void submit() {
        List<PromptGroup> groups = new ArrayList<>();
        for (int group = 0; group < mOptions.groups(); group++) {
            int number = (int) mStep * mOptions.groups() + group;
            String prompt =
                    mOptions.trainer() + "/" + mStep + "/" + group + "#" + mOptions.promptTokens();
            int tokens = mOptions.tokensPerSample().applyAsInt(number);
            groups.add(new PromptGroup(prompt, mOptions.samplesPerGroup(), tokens));
        }
        StepManifest manifest =
                new StepManifest(mOptions.trainer(), mStep, mOptions.className(), mVersion, groups);
        sendRequest(InjectionPoint.STEP_SUBMIT, new StepRequest.Submit(manifest));
    }

    private void pull() {
        sendRequest(
                InjectionPoint.STEP_PULL,
                new StepRequest.Pull(
                        mOptions.trainer(),
                        mStep,
                        mCursor,
                        mVersion,
                        mOptions.samplesPerStep(),
                        PULL_WAIT_MILLIS));
    }

    private void sendRequest(InjectionPoint point, StepRequest request) {
        long requestId = ++mRequestId;
        Runnable retry = () -> retry(requestId, point, request);
        VirtualEntry entry = mDeployment.selectEntry(mNextTurn++).orElse(null);
        if (entry == null) {
            mDeployment.mClock.schedule(RETRY_NANOS, retry);
            return;
        }
        mDeployment.mClock.schedule(TIMEOUT_NANOS, retry);
        mDeployment.mClock.schedule(
                LATENCY_NANOS,
                () ->
                        mDeployment.performWithFault(
                                point,
                                Participants.ofClient(entry, retry),
                                () -> send(entry, requestId, point, request, retry)));
    }

    private void send(
            VirtualEntry entry,
            long requestId,
            InjectionPoint point,
            StepRequest request,
            Runnable retry) {
        if (!entry.isAlive()) {
            mDeployment.mClock.schedule(LATENCY_NANOS, retry);
            return;
        }
        entry.handleStepRequest(
                request,
                false,
                reply -> {
                    Runnable deliver =
                            () ->
                                    mDeployment.mClock.schedule(
                                            LATENCY_NANOS,
                                            () -> onReply(requestId, point, request, reply));
                    if (request instanceof StepRequest.Pull) {
                        mDeployment.performWithFault(
                                InjectionPoint.PULL_REPLY,
                                Participants.ofClient(entry, retry),
                                deliver);
                    } else {
                        deliver.run();
                    }
                },
                retry);
    }

    private void retry(long requestId, InjectionPoint point, StepRequest request) {
        if (requestId == mRequestId) {
            mRequestId++;
            mDeployment.mClock.schedule(RETRY_NANOS, () -> sendRequest(point, request));
        }
    }

    private void onReply(
            long requestId, InjectionPoint point, StepRequest request, StepReply reply) {
        if (requestId != mRequestId) {
            return;
        }
        if (reply.fault() != null) {
            retry(requestId, point, request);
            return;
        }
        mRequestId++;
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
        if (mOptions.trainsWhilePulling() && !reply.samples().isEmpty()) {
            publishNext();
        }
        mCursor = reply.cursor();
        if (reply.complete()) {
            mIdleNanos.add(mDeployment.mClock.now() - mStepStartedAt);
            mDeployment.mClock.schedule(Nanos.ofMillis(mOptions.trainMillis()), this::onTrained);
        } else {
            pull();
        }
    }

    private void onTrained() {
        publishNext();
        nextStep();
    }

    private void publishNext() {
        mVersion = Math.max(mVersion + 1, mDeployment.latestVersion(mOptions.service()) + 1);
        mDeployment.publish(mOptions.service(), mVersion);
    }
}
