package org.ebonyrun.standin.engine;

import java.util.List;

/**
 * One run in the log of an engine.
 *
 * @param runId the ID of the run, which its response starts with
 * @param requestId the attempt ID that the agent sent with the request
 * @param prompt the prompt
 * @param versions the weight versions that generated tokens, in ascending order
 * @param tokens the number of tokens sent
 * @param finished whether the end marker was sent
 */
public record EngineRun(
        String runId,
        String requestId,
        String prompt,
        List<Long> versions,
        int tokens,
        boolean finished) {}
