package org.ebonyrun.core.config;

import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A class of work and the targets that operators set for it.
 *
 * @param name the class
 * @param service the service that runs the work
 * @param kind who waits for the results
 * @param targetQuantile the share of answered calls that must meet the target latency; zero for
 *     rollouts
 * @param targetLatencyMillis the target latency in milliseconds; zero for rollouts
 * @param idempotent whether a request may run more than once, unless its headers specify it
 * @param stalenessVersions the maximum age of a delivered sample, in versions; rollouts only
 * @param trainerIdleMillis the accepted idle time of the trainer per step, in milliseconds
 * @param scorer the service that scores samples, or null
 */
public record ClassSpec(
        ClassName name,
        ServiceName service,
        ClassKind kind,
        double targetQuantile,
        long targetLatencyMillis,
        boolean idempotent,
        long stalenessVersions,
        long trainerIdleMillis,
        @Nullable ServiceName scorer) {}
