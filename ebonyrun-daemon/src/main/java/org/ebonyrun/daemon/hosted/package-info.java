/**
 * The role of an entry on a platform that has endpoints of its own: callers, endpoints and the
 * shared store are reached directly, without agents.
 */
@NullMarked
package org.ebonyrun.daemon.hosted;

import org.jspecify.annotations.NullMarked;
