/** Clocks that decision logic receives instead of reading the system time. */
@NullMarked
package org.ebonyrun.base.time;

import org.jspecify.annotations.NullMarked;
