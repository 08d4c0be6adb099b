package org.ebonyrun.daemon.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Stream;

/**
 * The configuration as it stands in the key-value service.
 *
 * @param version the monotone version
 * @param author who applied it
 * @param text the YAML text
 * @param nonces marks of the newest writes, this one first
 */
public record StoredConfig(
        @JsonProperty("version") long version,
        @JsonProperty("author") String author,
        @JsonProperty("text") String text,
        @JsonProperty("nonces") List<String> nonces) {
    private static final int KEPT_NONCES = 64;

    /** Copies the marks. */
    public StoredConfig {
        nonces = List.copyOf(nonces);
    }

    /** Returns the configuration that replaces this one. */
    public StoredConfig next(String newAuthor, String newText, String nonce) {
        List<String> kept =
                Stream.concat(Stream.of(nonce), nonces.stream()).limit(KEPT_NONCES).toList();
        return new StoredConfig(version + 1, newAuthor, newText, kept);
    }

    /** Returns the configuration before any was applied. */
    public static StoredConfig none() {
        return new StoredConfig(0, "", "", List.of());
    }
}
