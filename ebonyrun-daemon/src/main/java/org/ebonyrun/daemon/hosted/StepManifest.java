package org.ebonyrun.daemon.hosted;

/**
 * The small part of a stored step, which every entry knows.
 *
 * @param host the host under which it was submitted
 * @param prefix the prefix of its route
 * @param model the model that is trained
 * @param number the trainer's count of steps
 * @param minVersion the oldest weight version that may be used
 * @param samples how many samples it has
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
    /** Returns whether the same trainer asked for both steps. */
    boolean isOfSameTrainer(StepManifest other) {
        return host.equals(other.host) && prefix.equals(other.prefix) && model.equals(other.model);
    }
}
