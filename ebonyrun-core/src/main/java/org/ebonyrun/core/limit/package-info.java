/**
 * Limits on the requests that endpoints take from all entries together, divided into permits that
 * entries acquire in the shared store.
 */
@NullMarked
package org.ebonyrun.core.limit;

import org.jspecify.annotations.NullMarked;
