/** Clocks that are passed to decision logic, which never reads the system time itself. */
@NullMarked
package org.ebonyrun.base.time;

import org.jspecify.annotations.NullMarked;
