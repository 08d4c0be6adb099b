package org.ebonyrun.core.attempt;

import java.util.List;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.wire.Message;
import org.jspecify.annotations.Nullable;

/** Messages about attempts and samples between an entry and an endpoint's agent. Immutable. */
public sealed interface AttemptMessage extends Message {
    /**
     * Offers a job to the agent.
     *
     * @param id the ID of the attempt, echoed in every reply
     */
    record Offer(AttemptId id, Job job) implements AttemptMessage {}

    /** Cancels an attempt; the agent sends no reply. */
    record CancelAttempt(AttemptId id) implements AttemptMessage {}

    /**
     * Refuses an attempt whose job was never handed to the endpoint.
     *
     * @param fault the reason; its outcome is {@code not-run}
     */
    record Refused(AttemptId id, Fault fault, EndpointLoad load) implements AttemptMessage {}

    /**
     * Carries a piece of the response.
     *
     * @param index the index of the piece, starting at zero
     */
    record Piece(AttemptId id, int index, byte[] data) implements AttemptMessage {}

    /**
     * Marks the end of a complete response.
     *
     * @param pieces the number of pieces in the response
     * @param status the HTTP status of the endpoint
     */
    record Done(
            AttemptId id,
            int pieces,
            int status,
            String contentType,
            int tokens,
            WeightVersions versions,
            EndpointLoad load)
            implements AttemptMessage {}

    /** Reports that an attempt ended without a complete response. */
    record Failed(AttemptId id, Fault fault, EndpointLoad load) implements AttemptMessage {}

    /** Reports that a sample is finished and is held until it is released. */
    record SampleFinished(AttemptId id, SampleKey key, SampleInfo info, EndpointLoad load)
            implements AttemptMessage {}

    /** Reports the load outside of a reply. */
    record LoadReport(EndpointLoad load) implements AttemptMessage {}

    /** Requests the content of a held sample. */
    record FetchSample(SampleKey key) implements AttemptMessage {}

    /**
     * Carries the content of a held sample.
     *
     * @param content the content; null if the sample is not held
     * @param info its description; null if the sample is not held
     */
    record SampleContent(SampleKey key, byte @Nullable [] content, @Nullable SampleInfo info)
            implements AttemptMessage {}

    /** Releases samples that were delivered to the trainer or are no longer needed. */
    record ReleaseSamples(List<SampleKey> keys) implements AttemptMessage {}

    /**
     * Announces the new owner of a step, and requests its held samples and running attempts.
     *
     * @param fence the fence of the new owner
     */
    record HeldQuery(TrainerId trainer, long step, long fence) implements AttemptMessage {}

    /**
     * Replies to a {@link HeldQuery}.
     *
     * @param held the finished samples of the step
     * @param running the slots that still have an open attempt
     */
    record HeldSamples(TrainerId trainer, long step, List<HeldSample> held, List<SampleKey> running)
            implements AttemptMessage {}

    /**
     * A finished sample that an agent holds.
     *
     * @param key the slot that it fills
     * @param info its description
     */
    record HeldSample(SampleKey key, SampleInfo info) {}

    /** Closes a step: the agent cancels its attempts and releases its samples. */
    record CloseStep(TrainerId trainer, long step, long fence) implements AttemptMessage {}
}
