/**
 * The shared store of a deployment: keys with revisions, transactions, leases and watches of a
 * prefix. What must last or be agreed on lives there.
 */
@NullMarked
package org.ebonyrun.ports.store;

import org.jspecify.annotations.NullMarked;
