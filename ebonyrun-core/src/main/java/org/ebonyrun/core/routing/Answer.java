package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.attempt.WeightVersions;

/**
 * The whole answer to a call.
 *
 * @param status the endpoint's HTTP status
 * @param contentType the content type of the body
 * @param body the body; empty if its pieces were passed on one by one
 * @param tokens the number of generated tokens
 * @param versions the weight versions that produced the answer
 * @param vm the endpoint that gave it
 */
public record Answer(
        int status,
        String contentType,
        byte[] body,
        int tokens,
        WeightVersions versions,
        VmId vm) {}
