package org.ebonyrun.daemon.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Stream;

/**
 * The operators' configuration as stored in the key-value service.
 *
 * @param version the version, which increases with each change
 * @param author the author of this version
 * @param text the YAML text
 * @param nonces the nonces of the latest writes, newest first; they identify a write whose response
 *     was lost
 */
public record StoredConfig(
        @JsonProperty("version") long version,
        @JsonProperty("author") String author,
        @JsonProperty("text") String text,
        @JsonProperty("nonces") List<String> nonces) {
    private static final int MAX_NONCES = 64;

    /** Copies the nonces. */
    public StoredConfig {
        nonces = List.copyOf(nonces);
    }

    /** Returns the configuration that replaces this one. */
    public StoredConfig next(String newAuthor, String newText, String nonce) {
        List<String> latestNonces =
                Stream.concat(Stream.of(nonce), nonces.stream()).limit(MAX_NONCES).toList();
        return new StoredConfig(version + 1, newAuthor, newText, latestNonces);
    }

    /** Returns the initial configuration, before the first change. */
    public static StoredConfig none() {
        return new StoredConfig(0, "", "", List.of());
    }
}
