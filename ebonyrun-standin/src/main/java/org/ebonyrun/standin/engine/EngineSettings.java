package org.ebonyrun.standin.engine;

/**
 * How an engine behaves.
 *
 * @param name the name that begins its run ids
 * @param slots how many completions run at once
 * @param tokensPerChunk tokens in each event of a stream
 * @param chunkMillis time between events, in milliseconds
 * @param swapMillis how long loading a version takes, in milliseconds
 * @param checksFence whether orders with an old fence are refused
 */
public record EngineSettings(
        String name,
        int slots,
        int tokensPerChunk,
        long chunkMillis,
        long swapMillis,
        boolean checksFence) {}
