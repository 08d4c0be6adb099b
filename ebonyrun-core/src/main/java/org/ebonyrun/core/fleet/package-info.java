/**
 * The known endpoints: the contents of their records, and what this process observed of them in its
 * own traffic.
 */
@NullMarked
package org.ebonyrun.core.fleet;

import org.jspecify.annotations.NullMarked;
