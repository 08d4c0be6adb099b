/** Threads with one duty each, fed by bounded rings. */
@NullMarked
package org.ebonyrun.base.eventloop;

import org.jspecify.annotations.NullMarked;
