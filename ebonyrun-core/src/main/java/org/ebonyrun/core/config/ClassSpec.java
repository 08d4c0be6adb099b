package org.ebonyrun.core.config;

import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A class of work and the targets that operators state for it.
 *
 * @param name the class
 * @param service the service that runs the work
 * @param kind who waits
 * @param latenessQuantile the share of answers that must be in time; zero for rollouts
 * @param latenessMillis how late that share may be, in milliseconds; zero for rollouts
 * @param idempotent whether a request may run twice unless it says otherwise
 * @param stalenessVersions the greatest age of a delivered sample, in versions; rollouts only
 * @param trainerIdleMillis tolerated idle time of the trainer per step, in milliseconds
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
