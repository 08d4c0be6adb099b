/**
 * The number of endpoints that a service needs: its demand, as all entries and the trainers' steps
 * show it, and the orders that follow from it.
 */
@NullMarked
package org.ebonyrun.core.scaling;

import org.jspecify.annotations.NullMarked;
