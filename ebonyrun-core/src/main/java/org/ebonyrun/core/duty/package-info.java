/** Decides when an entry may perform the duties that one entry performs for all. */
@NullMarked
package org.ebonyrun.core.duty;

import org.jspecify.annotations.NullMarked;
