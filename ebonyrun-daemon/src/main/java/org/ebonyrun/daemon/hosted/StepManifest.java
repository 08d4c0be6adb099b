package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.Objects;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;
import org.jspecify.annotations.Nullable;

/**
 * The manifest of a step that an entry without agents stores under one of the step's live keys: the
 * small part of the step, which every entry holds in memory. The submission with the samples is
 * stored under data keys, see {@link StoredStep}.
 *
 * <p>{@link org.ebonyrun.core.rollout.StepManifest} is another type: the manifest that a trainer
 * submits in deployments with agents. It holds the prompts of the step and is sent between peers.
 *
 * @param host the host to which the step was submitted
 * @param prefix the path prefix of its route
 * @param model the model that is trained
 * @param number the trainer's count of steps
 * @param minVersion the oldest weight version that may generate its samples
 * @param samples the number of its samples
 * @param submissionBytes the size of the submission; zero if an earlier version stored the manifest
 * @param workspace the workspace that submitted the step; null if there is none
 * @param acceptedAt when it was accepted, in Unix milliseconds
 */
record StepManifest(
        String host,
        String prefix,
        String model,
        int number,
        int minVersion,
        int samples,
        int submissionBytes,
        @Nullable WorkspaceName workspace,
        long acceptedAt) {
    /** Creates a manifest that does not state the size of the submission. */
    StepManifest(
            String host,
            String prefix,
            String model,
            int number,
            int minVersion,
            int samples,
            @Nullable WorkspaceName workspace,
            long acceptedAt) {
        this(host, prefix, model, number, minVersion, samples, 0, workspace, acceptedAt);
    }

    /**
     * Returns whether a caller may reach the step.
     *
     * @param caller the workspace that holds the caller's key; null if there is none
     */
    boolean isAccessibleTo(@Nullable WorkspaceName caller) {
        return workspace == null || workspace.equals(caller);
    }

    /** Returns a route without endpoints, for a step whose route was removed. */
    Route closedRoute() {
        return new Route(
                "closed",
                host,
                prefix,
                RouteKind.STEPS,
                List.of(new WeightedService(ServiceName.of("closed"), 1)),
                new CallOptions(1, 1, 1, 0),
                StepOptions.NONE);
    }

    /**
     * Returns whether both steps belong to the same trainer: same host, route prefix, model and
     * workspace.
     */
    boolean isOfSameTrainer(StepManifest other) {
        return host.equals(other.host)
                && prefix.equals(other.prefix)
                && model.equals(other.model)
                && Objects.equals(workspace, other.workspace);
    }
}
