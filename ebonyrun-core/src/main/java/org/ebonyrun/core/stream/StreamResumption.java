package org.ebonyrun.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a caller says of a stream that it resumes.
 *
 * <p>Immutable and thread safe.
 *
 * @param firstRequestId the ID of the request that brought the stream's first event; empty if the
 *     caller does not name it
 * @param lastEvent the number of the last event that the caller has
 */
public record StreamResumption(String firstRequestId, long lastEvent) {
    /** Checks that the caller has an event. */
    public StreamResumption {
        checkArgument(lastEvent > 0, "number of the last event is not positive: %s", lastEvent);
    }
}
