/**
 * The endpoints that are known: what their records say, and what this process saw of them in its
 * own traffic.
 */
@NullMarked
package org.ebonyrun.core.fleet;

import org.jspecify.annotations.NullMarked;
