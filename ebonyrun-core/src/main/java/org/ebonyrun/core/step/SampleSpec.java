package org.ebonyrun.core.step;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One sample of a step, as the trainer asked for it.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param id the sample's id
 * @param path the path at the endpoint
 * @param headers the headers of the request
 * @param body the body of the request
 * @param expectedTokens the trainer's estimate of the output's length, in tokens; zero if unknown
 * @param group the group that it belongs to; its own id if it has none
 * @param score the call that scores it; null if it is not scored
 */
public record SampleSpec(
        String id,
        String path,
        Map<String, String> headers,
        byte[] body,
        long expectedTokens,
        String group,
        @Nullable ScoreCall score) {
    /** Copies the headers. */
    public SampleSpec {
        headers = Map.copyOf(headers);
    }
}
