/**
 * Staggered loading of new weight versions into endpoints, in deployments with agents: the planner
 * in an entry orders loads, and the agent beside each endpoint checks and carries out the orders.
 *
 * <p>{@code org.ebonyrun.core.swap} has the planner of deployments without agents.
 */
@NullMarked
package org.ebonyrun.core.weights;

import org.jspecify.annotations.NullMarked;
