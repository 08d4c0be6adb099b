package org.ebonyrun.base.result;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Stable error codes of the service, shared by the wire protocol and the HTTP interface.
 *
 * <p>Immutable and thread safe. The meaning of a released code never changes.
 */
public enum FaultCode {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The request names a class, service, trainer or step that does not exist. */
    NOT_FOUND(404),
    /** Another writer came first, or the request conflicts with an earlier one. */
    CONFLICT(409),
    /** The key of a non-idempotent request was claimed by an earlier request. */
    ALREADY_CLAIMED(409),
    /** A body, header or list exceeds its limit. */
    TOO_LARGE(413),
    /** The content type is not supported. */
    UNSUPPORTED_TYPE(415),
    /** Accepting the work would miss its target or another class's target. */
    OVERLOADED(503),
    /** No endpoint can accept the work. */
    NO_ENDPOINT(503),
    /** The process or endpoint is shutting down. */
    DRAINING(503),
    /** The key-value service did not respond. */
    PLATFORM_UNAVAILABLE(503),
    /** The owner of the step could not be reached. */
    OWNER_UNAVAILABLE(503),
    /** The deadline passed. */
    DEADLINE(504),
    /** The connection to the peer was lost. */
    PEER_LOST(502),
    /** The endpoint reported an error. */
    ENDPOINT_ERROR(502),
    /** The response ended before its end marker or with a wrong number of pieces. */
    TRUNCATED(502),
    /** The order's fence is below the fence floor, the lowest fence that is accepted. */
    FENCED(409),
    /** The endpoint's weights are older than the work needs. */
    STALE_WEIGHTS(503),
    /** The caller cancelled the work. */
    CANCELLED(499),
    /** An unexpected error inside the service. */
    INTERNAL(500);

    private final int mHttpStatus;

    FaultCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the stable name used in JSON, for example {@code no-endpoint}. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
