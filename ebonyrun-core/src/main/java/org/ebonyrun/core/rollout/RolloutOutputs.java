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

/** What the rollout duty does to the world. Called on the duty's thread; must not block. */
public interface RolloutOutputs extends LeaseOutputs {
    /** Stores a manifest; the outcome comes back as an event. */
    void storeManifest(StepManifest manifest);

    /** Loads a manifest; the outcome comes back as an event. */
    void loadManifest(TrainerId trainer, long step);

    /** Deletes a manifest that is needed no more. */
    void deleteManifest(TrainerId trainer, long step, int slots);

    /** Hands a sample to the dispatch duty. */
    void submit(Work work);

    /** Takes a sample back from the dispatch duty, and stops its attempt. */
    void cancel(long workId);

    /** Takes a sample back from the dispatch duty, and lets its attempt go on. */
    void detach(long workId);

    /** Tells the dispatch duty the oldest version that is fresh enough for a trainer. */
    void setMinVersion(TrainerId trainer, long version);

    /** Sends a message to one agent. Returns false if it could not be sent. */
    boolean send(VmId vm, AttemptMessage message);

    /** Sends a message to every connected agent of a service. */
    void broadcast(ServiceName service, AttemptMessage message);

    /** Has a sample scored; the score comes back as an event. */
    void startScoring(ServiceName scorer, SampleKey key, byte[] content);

    /** Passes a request on to another owner. */
    void forward(LeaseHolder owner, long requestId, StepRequest request);

    /** Answers a request. */
    void reply(long requestId, StepReply reply);

    /** Tells how long a trainer waited for a sample, in nanoseconds. */
    void recordTrainerIdleTime(TrainerId trainer, long nanos);

    /** Tells the age of a delivered sample, in versions. */
    void recordDeliveredSample(TrainerId trainer, long age);

    /** Returns a new number for a piece of work, unique in the process. */
    long nextWorkId();

    /** Releases samples at an agent. */
    default void releaseSamples(VmId vm, List<SampleKey> keys) {
        send(vm, new AttemptMessage.ReleaseSamples(keys));
    }
}
