package org.ebonyrun.core.limit;

/**
 * A permit that a process holds in the shared store.
 *
 * <p>Immutable and thread safe.
 *
 * @param endpoint the ID of the endpoint
 * @param index the number of the permit among those of the endpoint
 * @param holder the name of the process that holds it
 * @param revision the revision at which the process acquired it
 */
public record Permit(String endpoint, int index, String holder, long revision) {}
