package org.ebonyrun.standin.engine;

/**
 * The options of an engine.
 *
 * @param name the name, which its run IDs start with
 * @param slots the number of concurrent completions that the engine reports as its limit
 * @param tokensPerChunk tokens per event of a stream
 * @param chunkMillis time between the events of a stream, in milliseconds
 * @param swapMillis time to load a version, in milliseconds
 * @param checksFence whether orders with an old fence are rejected
 */
public record EngineSettings(
        String name,
        int slots,
        int tokensPerChunk,
        long chunkMillis,
        long swapMillis,
        boolean checksFence) {}
