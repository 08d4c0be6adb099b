/** Orders to model engines to load named weight versions, given by one planner at a time. */
@NullMarked
package org.ebonyrun.core.swap;

import org.jspecify.annotations.NullMarked;
