package org.ebonyrun.standin.virtual;

/**
 * How a virtual endpoint behaves.
 *
 * @param plain whether it is a plain service, which has no weights
 * @param slots how many runs it serves at once
 * @param tokenMicros time to the next token with one run, in microseconds
 * @param batchSlowdown how much slower a token is with all slots in use: 1 doubles its time
 * @param prefillMicros time for a prompt token that is not cached, in microseconds
 * @param cachedPrompts how many prompts the prefix cache holds
 * @param tokensPerPiece tokens in each piece of a stream
 * @param swapMillis how long loading a version takes, in milliseconds
 * @param checksFence whether orders with an old fence are refused
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
