/**
 * The state machine with which an entry runs trainers' steps in deployments with agents: ownership
 * of steps, generation of their samples, and delivery to the trainers.
 *
 * <p>A step is a list of slots, each to be filled with one sample. Agents hold finished samples
 * until the trainer's cursor shows that they arrived. Trainers' steps in deployments without agents
 * are run by {@code org.ebonyrun.core.step}.
 */
@NullMarked
package org.ebonyrun.core.rollout;

import org.jspecify.annotations.NullMarked;
