package org.ebonyrun.daemon.hosted;

import java.util.List;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;

/**
 * The data of a step that was read from the shared store, except its manifest.
 *
 * @param submission the body of the submission, as it was received
 * @param results the listed results in the order of their positions
 * @param checkpoints the texts of unfinished samples, as an owner last stored them
 * @param revision the store revision at which the first page of the data was read
 */
record StoredStep(
        byte[] submission,
        List<SampleResult> results,
        List<SampleCheckpoint> checkpoints,
        long revision) {}
