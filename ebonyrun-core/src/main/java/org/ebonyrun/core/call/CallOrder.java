package org.ebonyrun.core.call;

import java.util.Comparator;

/** Says which of the calls that wait for an endpoint goes first. */
public interface CallOrder extends Comparator<CallSpec> {}
