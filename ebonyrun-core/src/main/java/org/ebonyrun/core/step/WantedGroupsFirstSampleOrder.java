package org.ebonyrun.core.step;

import java.util.Comparator;

/**
 * Orders samples by the rank of their group, then by the time at which their step is due, then by
 * expected length, longest first.
 *
 * <p>Designed for trainers that continue once a part of their groups is complete: a long sample
 * that starts late delays its group and so the step. Immutable and thread safe.
 */
final class WantedGroupsFirstSampleOrder implements SampleOrder {
    private static final Comparator<SampleProgress> ORDER =
            Comparator.comparingInt((SampleProgress sample) -> sample.mRank)
                    .thenComparingLong(sample -> sample.mStep.mDueAt)
                    .thenComparingLong(sample -> -sample.mSpec.expectedTokens());

    @Override
    public int compare(SampleProgress a, SampleProgress b) {
        return ORDER.compare(a, b);
    }
}
