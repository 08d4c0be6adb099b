package org.ebonyrun.standin.engine;

import java.util.List;

/**
 * What an engine's own log says of one run.
 *
 * @param runId the text that the run put at the start of its answer
 * @param requestId the attempt that the agent named
 * @param prompt the prompt
 * @param versions the weight versions that produced tokens
 * @param tokens the number of tokens produced
 * @param finished whether the end mark was sent
 */
public record EngineRun(
        String runId,
        String requestId,
        String prompt,
        List<Long> versions,
        int tokens,
        boolean finished) {}
