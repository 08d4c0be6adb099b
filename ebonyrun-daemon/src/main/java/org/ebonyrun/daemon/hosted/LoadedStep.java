package org.ebonyrun.daemon.hosted;

import java.util.List;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.core.step.StepSpec;

/**
 * A step that was read from the shared store.
 *
 * @param results the listed results in the order of their positions
 * @param checkpoints the texts of unfinished samples, as an owner last stored them
 * @param memory the claim of the samples' memory, which the receiver holds
 */
record LoadedStep(
        StepSpec spec,
        List<SampleResult> results,
        List<SampleCheckpoint> checkpoints,
        MemoryClaim memory) {}
