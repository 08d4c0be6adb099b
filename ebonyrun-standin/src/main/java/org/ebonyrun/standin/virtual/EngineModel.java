package org.ebonyrun.standin.virtual;

/**
 * Performance model and options of a virtual endpoint.
 *
 * @param plain whether it is a plain service, which has no weights
 * @param slots the number of runs it serves at once
 * @param tokenMicros time per token with a single run, in microseconds
 * @param batchSlowdown relative increase of the time per token when all slots are in use; 1 doubles
 *     it
 * @param prefillMicros prefill time per prompt token that is not cached, in microseconds
 * @param cachedPrompts capacity of the prefix cache, in prompts
 * @param tokensPerPiece tokens per piece of a stream
 * @param swapMillis time to load a version, in milliseconds
 * @param checksFence whether orders with an old fence are rejected
 */
public record EngineModel(
        boolean plain,
        int slots,
        long tokenMicros,
        double batchSlowdown,
        long prefillMicros,
        int cachedPrompts,
        int tokensPerPiece,
        long swapMillis,
        boolean checksFence) {
    /** Returns a small engine for fault tests. */
    public static EngineModel smallEngine(boolean checksFence) {
        return new EngineModel(false, 4, 10_000, 0.5, 100, 8, 5, 400, checksFence);
    }

    /** Returns a small plain service for fault tests. */
    public static EngineModel smallService() {
        return new EngineModel(true, 16, 20_000, 0, 0, 0, 1, 0, false);
    }
}
