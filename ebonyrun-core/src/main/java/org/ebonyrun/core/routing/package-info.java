/**
 * The entry's placement of work on endpoints in deployments with agents, with retries and
 * monitoring of class targets.
 *
 * <p>{@code org.ebonyrun.core.call} places the calls of deployments without agents.
 */
@NullMarked
package org.ebonyrun.core.routing;

import org.jspecify.annotations.NullMarked;
