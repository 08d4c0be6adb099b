package org.ebonyrun.core.attempt;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.jspecify.annotations.Nullable;

/**
 * What an endpoint is asked to run.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param kind whose work it is
 * @param className the class of work
 * @param targetQuantile the share of work of the class that must meet the target; zero for samples
 * @param targetMillis time left until the target is missed, in milliseconds; may be negative
 * @param timeoutMillis time left until the work is given up, in milliseconds
 * @param idempotent whether the work may run more than once
 * @param path the path and query of the endpoint's HTTP interface
 * @param contentType the content type of the body
 * @param body the request body
 * @param minVersion the oldest weight version that may produce the answer; zero for any
 * @param sample the slot that the answer fills; null for a call
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

    /** Checks that a sample has a slot and a call has none. */
    public Job {
        checkArgument(
                (kind == WorkKind.SAMPLE) == (sample != null), "slot does not fit kind %s", kind);
        checkArgument(path.startsWith("/"), "path is not absolute: %s", path);
    }
}
