package org.ebonyrun.core.attempt;

/**
 * Shares an endpoint by counters of generated tokens: while calls are present, samples are admitted
 * only if they have not generated more tokens than the calls. While there are no calls, their
 * counter is raised to that of the samples, so that calls do not accumulate credit for idle time. A
 * baseline after token-counter fairness (see docs/DESIGN.md).
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
final class TokenCounterAdmission implements SampleAdmission {
    private long mCallTokens;
    private long mSampleTokens;

    @Override
    public int admissibleSamples(int slots, int calls, int samples, long now) {
        if (calls == 0) {
            mCallTokens = Math.max(mCallTokens, mSampleTokens);
        }
        boolean samplesAhead = calls > 0 && mSampleTokens > mCallTokens;
        return samplesAhead ? 0 : Math.max(0, slots - calls - samples);
    }

    @Override
    public void onTokens(WorkKind kind, int tokens) {
        if (kind == WorkKind.CALL) {
            mCallTokens += tokens;
        } else {
            mSampleTokens += tokens;
        }
    }
}
