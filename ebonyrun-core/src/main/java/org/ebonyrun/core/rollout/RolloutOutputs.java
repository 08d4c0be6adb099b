package org.ebonyrun.core.rollout;

import java.util.List;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.core.routing.Work;

/**
 * Performs the actions that {@link RolloutMachine} decides on. Called on the rollout event loop;
 * must not block.
 */
public interface RolloutOutputs extends LeaseOutputs {
    /** Stores a manifest; the outcome comes back as an event. */
    void storeManifest(StepManifest manifest);

    /** Loads a manifest; the outcome comes back as an event. */
    void loadManifest(TrainerId trainer, long step);

    /** Deletes the manifest of a finished or cancelled step. */
    void deleteManifest(TrainerId trainer, long step, int slots);

    /** Submits a sample's work to the dispatcher. */
    void submit(Work work);

    /** Withdraws work from the dispatcher and cancels its attempt. */
    void cancel(long workId);

    /** Withdraws work from the dispatcher without cancelling its attempt. */
    void detach(long workId);

    /** Sets the oldest weight version that the dispatcher may use for a trainer's samples. */
    void setMinVersion(TrainerId trainer, long version);

    /** Sends a message to an agent. Returns false if it could not be sent. */
    boolean send(VmId vm, AttemptMessage message);

    /** Sends a message to every connected agent of a service. */
    void broadcast(ServiceName service, AttemptMessage message);

    /** Sends a sample to the scoring service; the score comes back as an event. */
    void startScoring(ServiceName scorer, SampleKey key, byte[] content);

    /** Forwards a request to the entry that owns the step. */
    void forward(LeaseHolder owner, long requestId, StepRequest request);

    /** Replies to a request. */
    void reply(long requestId, StepReply reply);

    /** Records how long a trainer waited for samples, in nanoseconds. */
    void recordTrainerIdleTime(TrainerId trainer, long nanos);

    /** Records the age of a delivered sample, in weight versions. */
    void recordDeliveredSample(TrainerId trainer, long age);

    /** Returns a work ID that is unique within the process. */
    long nextWorkId();

    /** Tells an agent to discard samples that it holds. */
    default void releaseSamples(VmId vm, List<SampleKey> keys) {
        send(vm, new AttemptMessage.ReleaseSamples(keys));
    }
}
