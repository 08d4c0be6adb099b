package org.ebonyrun.core.attempt;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.jspecify.annotations.Nullable;

/**
 * A request that an agent runs at its endpoint.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param kind the kind of work
 * @param className the class of work
 * @param targetQuantile the share of work of the class that must meet the target; zero for samples
 * @param targetMillis the time left until the target is missed, in milliseconds; may be negative
 * @param timeoutMillis the time left until the attempt times out, in milliseconds
 * @param idempotent whether the work may run more than once
 * @param path the path and query of the request to the endpoint
 * @param contentType the content type of the body
 * @param body the request body
 * @param minVersion the oldest weight version that may produce the response; zero for any
 * @param sample the slot that the response fills; null for a call
 * @param fence the fence of the step's owner; zero for a call
 */
public record Job(
        WorkKind kind,
        ClassName className,
        double targetQuantile,
        long targetMillis,
        long timeoutMillis,
        boolean idempotent,
        String path,
        String contentType,
        byte[] body,
        long minVersion,
        @Nullable SampleKey sample,
        long fence) {
    /** Returns whether this is a sample whose target has passed. */
    public boolean isUrgentSample() {
        return kind == WorkKind.SAMPLE && targetMillis <= 0;
    }

    /** Checks that a sample has a slot, that a call has none, and that the path is absolute. */
    public Job {
        checkArgument(
                (kind == WorkKind.SAMPLE) == (sample != null), "slot does not match kind %s", kind);
        checkArgument(path.startsWith("/"), "path must start with '/': %s", path);
    }
}
