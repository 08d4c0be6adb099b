package org.ebonyrun.core.step;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One sample of a step, as the trainer submitted it.
 *
 * <p>Immutable by convention: the body is not copied and must not be changed.
 *
 * @param id the sample's ID
 * @param path the path of the request at the endpoint
 * @param headers the headers of the request
 * @param body the body of the request
 * @param expectedTokens the trainer's estimate of the output's length, in tokens; zero if unknown
 * @param group the sample's group; the sample's ID if the trainer named none
 * @param score the call that scores the sample; null if it is not scored
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
