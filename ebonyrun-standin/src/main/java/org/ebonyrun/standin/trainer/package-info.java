/** A stand-in of a trainer. */
@NullMarked
package org.ebonyrun.standin.trainer;

import org.jspecify.annotations.NullMarked;
