package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.attempt.WorkKind;
import org.jspecify.annotations.Nullable;

/**
 * A call or a sample that an entry has to run at an endpoint.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param id a number that is unique within the process
 * @param kind the kind of work
 * @param service the service that runs it
 * @param className the class of work
 * @param targetQuantile the share of work of the class that must meet the target; zero for samples
 * @param arrivedAt the monotonic time in nanoseconds at which it arrived
 * @param targetAt the monotonic time in nanoseconds at which the target is missed
 * @param deadline the monotonic time in nanoseconds at which the work times out
 * @param idempotent whether it may run more than once
 * @param streaming whether pieces are forwarded before the response is complete
 * @param path the path and query of the request to the endpoint
 * @param contentType the content type of the body
 * @param body the request body
 * @param affinity a hash of the prompt prefix, equal for work with the same prefix; zero for none
 * @param sample the slot that a sample fills; null for a call
 * @param fence the fence of the step's owner; zero for a call
 */
public record Work(
        long id,
        WorkKind kind,
        ServiceName service,
        ClassName className,
        double targetQuantile,
        long arrivedAt,
        long targetAt,
        long deadline,
        boolean idempotent,
        boolean streaming,
        String path,
        String contentType,
        byte[] body,
        long affinity,
        @Nullable SampleKey sample,
        long fence) {
    /** Returns whether this is a sample. */
    public boolean isSample() {
        return kind == WorkKind.SAMPLE;
    }
}
