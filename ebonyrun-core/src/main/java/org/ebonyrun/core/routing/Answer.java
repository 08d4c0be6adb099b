package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.WeightVersions;

/**
 * The complete response to a call.
 *
 * @param status the HTTP status of the endpoint
 * @param contentType the content type of the body
 * @param body the body; empty if its pieces were streamed to the caller
 * @param tokens the number of generated tokens
 * @param versions the weight versions that produced the response
 * @param vm the VM of the endpoint that responded
 */
public record Answer(
        int status,
        String contentType,
        byte[] body,
        int tokens,
        WeightVersions versions,
        VmId vm) {}
