package org.ebonyrun.core.attempt;

/**
 * Shares an endpoint by counters of generated tokens: while calls are present, samples may start
 * only if they have had fewer tokens than the calls. A counter that was idle is lifted to the
 * other, so that idle time is not saved up. A baseline after token-counter fairness (see
 * docs/DESIGN.md).
 *
 * <p>Not thread safe; confined to the attempt duty.
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
