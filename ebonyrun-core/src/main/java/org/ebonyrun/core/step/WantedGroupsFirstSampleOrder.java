package org.ebonyrun.core.step;

import java.util.Comparator;

/**
 * Samples of wanted groups first, then those of the step that is due first, then the longest.
 *
 * <p>Answers the load of trainers that go on once a part of their groups is whole: a long sample
 * that begins late makes its group, and so the step, late. Immutable and thread safe.
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
