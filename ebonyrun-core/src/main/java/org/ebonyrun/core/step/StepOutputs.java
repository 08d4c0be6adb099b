package org.ebonyrun.core.step;

import java.util.List;
import org.ebonyrun.core.fleet.Endpoint;

/** Carries out what a {@link StepMachine} decides. Called on the machine's thread. */
public interface StepOutputs {
    /**
     * Starts a run.
     *
     * @param run the number of the run within this process
     * @param lastEvent the event after which the stream goes on; zero for the beginning
     * @param terms how the endpoint is to treat it
     */
    void startRun(
            long run,
            StepSpec step,
            SampleSpec sample,
            Endpoint endpoint,
            int lastEvent,
            RunOptions terms);

    /** Closes the connection of a run whose stream is not needed any more. */
    void cancelRun(long run, String reason);

    /** Sends the call that scores a sample. */
    void startScoring(long run, StepSpec step, SampleSpec sample);

    /**
     * Stores results from a position on. Only one call for each step is open at a time; it ends
     * with {@link StepMachine#onResultsStored} or {@link StepMachine#onOwnershipLost}.
     */
    void storeResults(StepId step, int position, List<SampleResult> results, boolean last);

    /** Notes that results are listed now. */
    void onResultsListed(StepId step);
}
