/**
 * Load balancing for single calls: which endpoint a call is sent to, when it is retried or hedged,
 * and when it is refused.
 */
@NullMarked
package org.ebonyrun.core.call;

import org.jspecify.annotations.NullMarked;
