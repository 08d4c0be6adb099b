package org.ebonyrun.core.step;

/** Baseline order: samples in the order of their submission. Immutable and thread safe. */
final class FifoSampleOrder implements SampleOrder {
    @Override
    public int compare(SampleProgress a, SampleProgress b) {
        // The samples to sort are in submission order, which a stable sort preserves.
        return 0;
    }
}
