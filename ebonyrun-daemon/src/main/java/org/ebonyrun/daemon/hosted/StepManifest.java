package org.ebonyrun.daemon.hosted;

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
 * @param acceptedAt when it was accepted, in Unix milliseconds
 */
record StepManifest(
        String host,
        String prefix,
        String model,
        int number,
        int minVersion,
        int samples,
        long acceptedAt) {
    /** Returns whether both steps belong to the same trainer: same host, route prefix and model. */
    boolean isOfSameTrainer(StepManifest other) {
        return host.equals(other.host) && prefix.equals(other.prefix) && model.equals(other.model);
    }
}
