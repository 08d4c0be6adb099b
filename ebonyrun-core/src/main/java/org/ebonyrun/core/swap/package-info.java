/** Load orders: one planner at a time orders model engines to load new weight versions. */
@NullMarked
package org.ebonyrun.core.swap;

import org.jspecify.annotations.NullMarked;
