/** Staggered roll-out of new weights to endpoints. */
@NullMarked
package org.ebonyrun.core.weights;

import org.jspecify.annotations.NullMarked;
