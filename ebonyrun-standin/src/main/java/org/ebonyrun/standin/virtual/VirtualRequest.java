package org.ebonyrun.standin.virtual;

import java.nio.charset.StandardCharsets;

/**
 * A request body in a virtual world.
 *
 * @param prompt the prompt, which names the request
 * @param prefix the name of the prompt's prefix, which requests of one group share
 * @param promptTokens tokens of the prompt
 * @param tokens tokens of the answer
 */
public record VirtualRequest(String prompt, String prefix, int promptTokens, int tokens) {
    private static final String SEPARATOR = "\n";
    private static final int PARTS = 4;

    /** Returns the body. */
    public byte[] encode() {
        return String.join(
                        SEPARATOR,
                        prompt,
                        prefix,
                        Integer.toString(promptTokens),
                        Integer.toString(tokens))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a body. */
    public static VirtualRequest decode(byte[] body) {
        String[] parts = new String(body, StandardCharsets.UTF_8).split(SEPARATOR, PARTS);
        return new VirtualRequest(
                parts[0], parts[1], Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
    }
}
