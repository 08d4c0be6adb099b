package org.ebonyrun.core.call;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies calls that ask for the same: those with equal method, host, target and body. Request
 * IDs differ between the attempts of one client, and headers may.
 *
 * <p>All entries compute the same fingerprint. Immutable and thread safe.
 *
 * @param value the fingerprint, in hexadecimal
 */
public record CallFingerprint(String value) {
    private static final int BYTES = 16;

    /** Returns the fingerprint of a call. */
    public static CallFingerprint of(String method, String host, String target, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String text : new String[] {method, host, target}) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            hasher.putInt(bytes.length).putBytes(bytes);
        }
        String hash = hasher.putBytes(body).hash().toString();
        return new CallFingerprint(hash.substring(0, 2 * BYTES));
    }

    @Override
    public String toString() {
        return value;
    }
}
