package org.ebonyrun.core.attempt;

import java.util.List;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.wire.Message;
import org.jspecify.annotations.Nullable;

/** Messages between an entry and an endpoint's agent about attempts and samples. Immutable. */
public sealed interface AttemptMessage extends Message {
    /**
     * Asks the agent to run a job.
     *
     * @param id the attempt, echoed in every answer
     */
    record Offer(AttemptId id, Job job) implements AttemptMessage {}

    /** Gives an attempt up; no answer follows. */
    record CancelAttempt(AttemptId id) implements AttemptMessage {}

    /**
     * Tells that the job was never handed to the endpoint.
     *
     * @param fault the reason; its outcome is {@code not-run}
     */
    record Refused(AttemptId id, Fault fault, EndpointLoad load) implements AttemptMessage {}

    /**
     * Carries a part of the answer.
     *
     * @param index the number of the piece, from zero
     */
    record Piece(AttemptId id, int index, byte[] data) implements AttemptMessage {}

    /**
     * Marks the end of a whole answer.
     *
     * @param pieces the number of pieces that belong to the answer
     * @param status the endpoint's HTTP status
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

    /** Tells that an attempt ended without an answer. */
    record Failed(AttemptId id, Fault fault, EndpointLoad load) implements AttemptMessage {}

    /** Tells that a sample is finished and held until released. */
    record SampleFinished(AttemptId id, SampleKey key, SampleInfo info, EndpointLoad load)
            implements AttemptMessage {}

    /** Reports load without an answer. */
    record LoadReport(EndpointLoad load) implements AttemptMessage {}

    /** Asks for the content of a held sample. */
    record FetchSample(SampleKey key) implements AttemptMessage {}

    /**
     * Carries the content of a held sample.
     *
     * @param content the content; null if the sample is not held
     */
    record SampleContent(SampleKey key, byte @Nullable [] content, @Nullable SampleInfo info)
            implements AttemptMessage {}

    /** Releases samples that the trainer has, or that nobody wants any more. */
    record ReleaseSamples(List<SampleKey> keys) implements AttemptMessage {}

    /**
     * Takes over a step and asks what is held and what runs of it.
     *
     * @param fence the fence of the new owner
     */
    record HeldQuery(TrainerId trainer, long step, long fence) implements AttemptMessage {}

    /**
     * Answers a {@link HeldQuery}.
     *
     * @param held finished samples
     * @param running slots whose attempt still runs
     */
    record HeldSamples(TrainerId trainer, long step, List<HeldSample> held, List<SampleKey> running)
            implements AttemptMessage {}

    /**
     * One finished sample that an agent holds.
     *
     * @param key the slot
     * @param info its description
     */
    record HeldSample(SampleKey key, SampleInfo info) {}

    /** Ends a step: its attempts are cancelled and its samples released. */
    record CloseStep(TrainerId trainer, long step, long fence) implements AttemptMessage {}
}
