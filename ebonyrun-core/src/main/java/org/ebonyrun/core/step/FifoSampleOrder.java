package org.ebonyrun.core.step;

/** A baseline: samples in the order in which they were submitted. Immutable and thread safe. */
final class FifoSampleOrder implements SampleOrder {
    @Override
    public int compare(SampleProgress a, SampleProgress b) {
        // The machine sorts a list in this order, and sorting keeps it.
        return 0;
    }
}
