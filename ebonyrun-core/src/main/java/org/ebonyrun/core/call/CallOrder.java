package org.ebonyrun.core.call;

import java.util.Comparator;

/** Orders the calls that wait for an endpoint; the smallest one is sent first. */
public interface CallOrder extends Comparator<CallSpec> {}
