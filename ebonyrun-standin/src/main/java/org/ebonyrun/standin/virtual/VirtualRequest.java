package org.ebonyrun.standin.virtual;

import java.nio.charset.StandardCharsets;

/**
 * A request body in a virtual deployment.
 *
 * @param prompt the prompt, which is unique to the request
 * @param prefix the key of the prompt in the prefix cache; requests of one group share it
 * @param promptTokens number of tokens of the prompt
 * @param tokens number of tokens to generate
 */
public record VirtualRequest(String prompt, String prefix, int promptTokens, int tokens) {
    private static final String SEPARATOR = "\n";
    private static final int PARTS = 4;

    /** Encodes the request as a body. */
    public byte[] encode() {
        return String.join(
                        SEPARATOR,
                        prompt,
                        prefix,
                        Integer.toString(promptTokens),
                        Integer.toString(tokens))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a body that {@link #encode} has written. */
    public static VirtualRequest decode(byte[] body) {
        String[] parts = new String(body, StandardCharsets.UTF_8).split(SEPARATOR, PARTS);
        return new VirtualRequest(
                parts[0], parts[1], Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
    }
}
