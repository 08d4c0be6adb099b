package org.ebonyrun.core.stream;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a stream over all tries of its caller.
 *
 * <p>All entries compute the same ID. Immutable and thread safe.
 *
 * @param value a hash of the host and of the ID of the request that brought the first event, in
 *     hexadecimal
 */
public record StreamId(String value) {
    /** The number of buckets into which streams are divided. */
    public static final int BUCKETS = 16;

    private static final int DIGITS = 16;
    private static final int HEX_RADIX = 16;

    /** Returns the ID of the stream whose first event a request brought. */
    public static StreamId of(String host, String requestId) {
        byte[] bytes = host.getBytes(StandardCharsets.UTF_8);
        String hash =
                Hashing.sha256()
                        .newHasher()
                        .putInt(bytes.length)
                        .putBytes(bytes)
                        .putString(requestId, StandardCharsets.UTF_8)
                        .hash()
                        .toString();
        return new StreamId(hash.substring(0, DIGITS));
    }

    /** Returns the bucket of the stream, from zero to {@link #BUCKETS} - 1. */
    public int bucket() {
        return Character.digit(value.charAt(0), HEX_RADIX);
    }

    @Override
    public String toString() {
        return value;
    }
}
