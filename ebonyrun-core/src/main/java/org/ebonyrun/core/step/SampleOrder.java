package org.ebonyrun.core.step;

import java.util.Comparator;

/** Orders the samples that wait for an endpoint; the least one is placed first. */
interface SampleOrder extends Comparator<SampleProgress> {}
