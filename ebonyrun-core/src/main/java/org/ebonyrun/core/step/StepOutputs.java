package org.ebonyrun.core.step;

import java.util.List;
import org.ebonyrun.core.fleet.Endpoint;

/** Performs the I/O that a {@link StepMachine} decides on. Called on its event loop. */
public interface StepOutputs {
    /**
     * Starts a run of a sample at an endpoint.
     *
     * @param run the ID of the run, unique within this process
     * @param lastEvent the number of the event after which the endpoint continues the stream; zero
     *     to start from the beginning
     * @param options the priority and the weight version that the run requires
     */
    void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions options);

    /** Closes the connection of a run whose stream is no longer needed. */
    void cancelRun(long run, String reason);

    /** Sends the call that scores a sample; it ends with {@link StepMachine#onScoreEnd}. */
    void startScoring(long run, StepSpec step, SampleSpec sample);

    /** Ends a scoring call that is no longer needed, whether it waits or an endpoint runs it. */
    void cancelScoring(long run, String reason);

    /**
     * Stores results in a step's result list, starting at a position. At most one such write per
     * step is in progress; it ends with {@link StepMachine#onResultsStored} or {@link
     * StepMachine#onOwnershipLost}.
     *
     * @param last whether these are the last results of the step
     */
    void storeResults(StepId step, int position, List<SampleResult> results, boolean last);

    /** Called when the text of a sample is discarded, so that the sample begins again. */
    void onTextDiscarded(StepId step, SampleCheckpoint text, String reason);

    /** Called when a sample is abandoned, before its result is stored. */
    void onAbandoned(StepId step, String sample, String reason);

    /** Called after results of a step have been listed. */
    void onResultsListed(StepId step);
}
