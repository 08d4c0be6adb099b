/** The platform's interface to the duties that one entry performs for all. */
@NullMarked
package org.ebonyrun.ports.duty;

import org.jspecify.annotations.NullMarked;
