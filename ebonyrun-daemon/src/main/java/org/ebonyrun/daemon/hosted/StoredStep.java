package org.ebonyrun.daemon.hosted;

import java.util.List;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;

/**
 * The bulk of a step as it is kept in the shared store.
 *
 * @param submission the submission as it came
 * @param listed the results in the order of their positions
 * @param partial texts that an earlier owner handed over
 * @param revision the store's revision at which this was read
 */
record StoredStep(
        byte[] submission,
        List<SampleResult> results,
        List<SampleCheckpoint> checkpoints,
        long revision) {}
