package org.ebonyrun.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.config.OperatorConfig;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseListener;
import org.ebonyrun.core.lease.LeaseRecord;
import org.jspecify.annotations.Nullable;

/**
 * State machine of trainers' steps in an entry: runs the steps of trainers whose lease this process
 * holds, and forwards requests about other trainers' steps to the entry that owns them.
 *
 * <p>Invariant: every request gets exactly one reply, unless it is cancelled or forwarded.
 *
 * <p>Not thread safe; confined to the rollout event loop.
 */
public final class RolloutMachine implements Ticking, LeaseListener {
    private final LeaseHolder mSelf;
    private final CompletionRequestEncoder mRequestEncoder;
    private final StragglerPolicy mStragglerPolicy;
    private final RolloutOutputs mOutputs;
    private final Map<TrainerId, TrainerSteps> mTrainers = new HashMap<>();
    private OperatorConfig mConfig = OperatorConfig.empty();

    private RolloutMachine(
            LeaseHolder self,
            CompletionRequestEncoder requestEncoder,
            StragglerPolicy stragglerPolicy,
            RolloutOutputs outputs) {
        mSelf = self;
        mRequestEncoder = requestEncoder;
        mStragglerPolicy = stragglerPolicy;
        mOutputs = outputs;
    }

    /** Creates a state machine that owns no step. */
    public static RolloutMachine create(
            LeaseHolder self,
            CompletionRequestEncoder requestEncoder,
            StragglerPolicy stragglerPolicy,
            RolloutOutputs outputs) {
        return new RolloutMachine(self, requestEncoder, stragglerPolicy, outputs);
    }

    /** Applies a new configuration. */
    public void onConfig(OperatorConfig config) {
        mConfig = config;
        mTrainers.values().forEach(trainer -> trainer.onConfig(config));
    }

    /**
     * Handles a trainer's request.
     *
     * @param forwarded whether another entry forwarded it; it is then not forwarded again
     */
    public void onRequest(long requestId, StepRequest request, boolean forwarded, long now) {
        trainer(request.trainer()).onRequest(requestId, request, forwarded, mConfig, now);
    }

    /** Drops a request whose reply is no longer needed. */
    public void cancelRequest(long requestId) {
        mTrainers.values().forEach(trainer -> trainer.cancelRequest(requestId));
    }

    /** Handles the failure to reach the owner to which a request was forwarded. */
    public void onOwnerUnreachable(TrainerId id, long now) {
        trainer(id).lease().forgetOtherHolder(now);
    }

    @Override
    public void onLeaseRecord(String key, LeaseRecord leaseRecord, long now) {
        forLeaseKey(key, trainer -> trainer.onLeaseRecord(leaseRecord, mConfig, now));
    }

    @Override
    public void onLeaseUnavailable(String key, long now) {
        forLeaseKey(key, trainer -> trainer.onLeaseUnavailable(mConfig, now));
    }

    @Override
    public void onLeaseRenewed(String key, boolean granted, long now) {
        forLeaseKey(
                key,
                trainer -> {
                    if (granted) {
                        trainer.lease().onRenewed(now);
                    } else {
                        trainer.onRenewalRefused(now);
                    }
                });
    }

    /** Handles the outcome of storing a manifest. */
    public void onManifestStored(StepManifest manifest, Optional<Fault> fault, long now) {
        trainer(manifest.trainer()).onManifestStored(manifest, fault, mConfig, now);
    }

    /**
     * Handles the outcome of loading a manifest.
     *
     * @param manifest the manifest; null if the step has none or loading it failed
     */
    public void onManifestLoaded(
            TrainerId trainer,
            long step,
            @Nullable StepManifest manifest,
            Optional<Fault> fault,
            long now) {
        trainer(trainer).onManifestLoaded(step, manifest, fault, mConfig, now);
    }

    /** Handles a finished sample that an agent holds. */
    public void onSampleFinished(VmId vm, SampleKey key, SampleInfo info, long now) {
        Step step = findStep(key.trainer(), key.step());
        if (step != null) {
            step.onSampleFinished(vm, key, info, now);
        }
    }

    /** Handles a sample whose work the dispatcher abandoned. */
    public void onSampleFailed(SampleKey key, long now) {
        Step step = findStep(key.trainer(), key.step());
        if (step != null) {
            step.onSampleFailed(key, now);
        }
    }

    /**
     * Handles the outcome of scoring a sample.
     *
     * @param score the score; null if scoring failed
     */
    public void onScored(SampleKey key, @Nullable String score, long now) {
        Step step = findStep(key.trainer(), key.step());
        if (step != null) {
            step.onScored(key, score, now);
        }
    }

    /** Handles an agent's message about the samples that it holds. */
    public void onMessage(VmId vm, AttemptMessage message, long now) {
        if (message instanceof AttemptMessage.SampleContent content) {
            Step step = findStep(content.key().trainer(), content.key().step());
            if (step != null) {
                step.onSampleContent(vm, content, now);
            }
        } else if (message instanceof AttemptMessage.HeldSamples held) {
            Step step = findStep(held.trainer(), held.step());
            if (step != null) {
                step.onHeldSamples(vm, held, now);
            }
        }
    }

    /** Handles a new link to an agent of a service. */
    public void onAgentConnected(VmId vm, ServiceName service) {
        forEachStep(
                step -> {
                    if (step.classSpec().service().equals(service)) {
                        step.onAgentConnected(vm);
                    }
                });
    }

    /** Handles the loss of the link to an agent. */
    public void onAgentLost(VmId vm, long now) {
        forEachStep(step -> step.onAgentLost(vm, now));
    }

    @Override
    public void onTick(long now) {
        mTrainers.values().forEach(trainer -> trainer.onTick(mConfig, now));
    }

    /**
     * Drops every step without cancelling its attempts, so that other entries can take the steps
     * over.
     *
     * @return the fences of the leases that are held, by lease key
     */
    public Map<String, Long> handOver(long now) {
        Map<String, Long> leases = new HashMap<>();
        for (TrainerSteps trainer : mTrainers.values()) {
            if (trainer.lease().isHeld(now)) {
                leases.put(trainer.lease().key(), trainer.lease().fence());
            }
            trainer.detachAll();
        }
        return leases;
    }

    /** Returns the state of each step that this process owns. */
    public List<StepDump> dump(long now) {
        List<StepDump> steps = new ArrayList<>();
        forEachStep(step -> steps.add(step.dump(now)));
        return steps;
    }

    private void forEachStep(Consumer<Step> action) {
        for (TrainerSteps trainer : mTrainers.values()) {
            List.copyOf(trainer.steps()).forEach(action);
        }
    }

    private TrainerSteps trainer(TrainerId id) {
        return mTrainers.computeIfAbsent(
                id,
                key -> new TrainerSteps(key, mSelf, mRequestEncoder, mStragglerPolicy, mOutputs));
    }

    private @Nullable Step findStep(TrainerId trainer, long step) {
        TrainerSteps steps = mTrainers.get(trainer);
        if (steps == null) {
            return null;
        }
        return steps.steps().stream()
                .filter(candidate -> candidate.manifest().step() == step)
                .findFirst()
                .orElse(null);
    }

    private void forLeaseKey(String key, Consumer<TrainerSteps> action) {
        for (TrainerSteps trainer : mTrainers.values()) {
            if (trainer.lease().key().equals(key)) {
                action.accept(trainer);
            }
        }
    }
}
