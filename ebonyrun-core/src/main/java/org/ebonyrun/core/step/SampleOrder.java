package org.ebonyrun.core.step;

import java.util.Comparator;

/** Says which of the samples that wait for an endpoint goes first. */
interface SampleOrder extends Comparator<SampleProgress> {}
