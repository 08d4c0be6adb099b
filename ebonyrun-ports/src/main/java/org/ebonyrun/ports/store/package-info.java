/**
 * The shared store of a deployment: keys with revisions, transactions, leases and watches of a
 * prefix. It holds the state that must be durable or agreed on between processes.
 */
@NullMarked
package org.ebonyrun.ports.store;

import org.jspecify.annotations.NullMarked;
