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
 * Owns trainers' steps, or passes requests on to the entry that does.
 *
 * <p>Every request gets exactly one reply, unless it was cancelled or passed on.
 *
 * <p>Not thread safe; confined to the rollout duty.
 */
public final class RolloutMachine implements Ticking, LeaseListener {
    private final LeaseHolder mSelf;
    private final CompletionRequestEncoder mBodies;
    private final StragglerPolicy mStragglers;
    private final RolloutOutputs mOutputs;
    private final Map<TrainerId, TrainerSteps> mTrainers = new HashMap<>();
    private OperatorConfig mConfig = OperatorConfig.empty();

    private RolloutMachine(
            LeaseHolder self,
            CompletionRequestEncoder bodies,
            StragglerPolicy stragglers,
            RolloutOutputs outputs) {
        mSelf = self;
        mBodies = bodies;
        mStragglers = stragglers;
        mOutputs = outputs;
    }

    /** Creates a machine that owns no step. */
    public static RolloutMachine create(
            LeaseHolder self,
            CompletionRequestEncoder bodies,
            StragglerPolicy stragglers,
            RolloutOutputs outputs) {
        return new RolloutMachine(self, bodies, stragglers, outputs);
    }

    /** Adopts a configuration. */
    public void onConfig(OperatorConfig config) {
        mConfig = config;
        mTrainers.values().forEach(trainer -> trainer.onConfig(config));
    }

    /**
     * Handles a trainer's request.
     *
     * @param forwarded whether another entry passed it on; it is then not passed on again
     */
    public void onRequest(long requestId, StepRequest request, boolean forwarded, long now) {
        trainer(request.trainer()).onRequest(requestId, request, forwarded, mConfig, now);
    }

    /** Forgets a request that nobody waits for any more. */
    public void cancelRequest(long requestId) {
        mTrainers.values().forEach(trainer -> trainer.cancelRequest(requestId));
    }

    /** Takes note that the owner to which a request was passed on can't be reached. */
    public void onOwnerUnreachable(TrainerId id, long now) {
        trainer(id).lease().forgetOtherHolder(now);
    }

    @Override
    public void onLeaseRecord(String key, LeaseRecord reading, long now) {
        byKey(key, trainer -> trainer.onLeaseRecord(reading, mConfig, now));
    }

    @Override
    public void onLeaseUnavailable(String key, long now) {
        byKey(key, trainer -> trainer.onLeaseUnavailable(mConfig, now));
    }

    @Override
    public void onLeaseRenewed(String key, boolean granted, long now) {
        byKey(
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

    /** Handles the outcome of loading a manifest; null without a fault means that there is none. */
    public void onManifestLoaded(
            TrainerId trainer,
            long step,
            @Nullable StepManifest manifest,
            Optional<Fault> fault,
            long now) {
        trainer(trainer).onManifestLoaded(step, manifest, fault, mConfig, now);
    }

    /** Handles a sample that finished at an agent. */
    public void onSampleFinished(VmId vm, SampleKey key, SampleInfo info, long now) {
        Step step = step(key.trainer(), key.step());
        if (step != null) {
            step.onSampleFinished(vm, key, info, now);
        }
    }

    /** Handles a sample that the dispatch duty gave up. */
    public void onSampleFailed(SampleKey key, long now) {
        Step step = step(key.trainer(), key.step());
        if (step != null) {
            step.onSampleFailed(key, now);
        }
    }

    /** Handles a score; null when the scoring service gave none. */
    public void onScored(SampleKey key, @Nullable String score, long now) {
        Step step = step(key.trainer(), key.step());
        if (step != null) {
            step.onScored(key, score, now);
        }
    }

    /** Handles a message of an agent about held samples. */
    public void onMessage(VmId vm, AttemptMessage message, long now) {
        if (message instanceof AttemptMessage.SampleContent content) {
            Step step = step(content.key().trainer(), content.key().step());
            if (step != null) {
                step.onSampleContent(vm, content, now);
            }
        } else if (message instanceof AttemptMessage.HeldSamples held) {
            Step step = step(held.trainer(), held.step());
            if (step != null) {
                step.onHeldSamples(vm, held, now);
            }
        }
    }

    /** Takes note that an agent of a service is connected. */
    public void onAgentConnected(VmId vm, ServiceName service) {
        forEachStep(
                step -> {
                    if (step.classSpec().service().equals(service)) {
                        step.onAgentConnected(vm);
                    }
                });
    }

    /** Takes note that the link to an agent is lost. */
    public void onAgentLost(VmId vm, long now) {
        forEachStep(step -> step.onAgentLost(vm, now));
    }

    @Override
    public void onTick(long now) {
        mTrainers.values().forEach(trainer -> trainer.onTick(mConfig, now));
    }

    /**
     * Lets go of every step, so that other entries can take them over.
     *
     * @return the fence of each lease that was held, by its key
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

    /** Returns the steps that this process owns. */
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
                id, key -> new TrainerSteps(key, mSelf, mBodies, mStragglers, mOutputs));
    }

    private @Nullable Step step(TrainerId trainer, long step) {
        TrainerSteps steps = mTrainers.get(trainer);
        if (steps == null) {
            return null;
        }
        return steps.steps().stream()
                .filter(candidate -> candidate.manifest().step() == step)
                .findFirst()
                .orElse(null);
    }

    private void byKey(String key, Consumer<TrainerSteps> action) {
        for (TrainerSteps trainer : mTrainers.values()) {
            if (trainer.lease().key().equals(key)) {
                action.accept(trainer);
            }
        }
    }
}
