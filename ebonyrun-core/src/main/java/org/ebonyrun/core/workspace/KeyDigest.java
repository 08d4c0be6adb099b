package org.ebonyrun.core.workspace;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.jspecify.annotations.Nullable;

/**
 * The SHA-256 digest of a key. Keys are kept and compared only in this form; the time of a
 * comparison does not depend on the digests, and no text form shows any part of them.
 *
 * <p>Immutable and thread safe.
 */
public final class KeyDigest {
    // Four numbers take half the memory of an array.
    private final long mFirst;
    private final long mSecond;
    private final long mThird;
    private final long mFourth;

    private KeyDigest(ByteBuffer digest) {
        mFirst = digest.getLong();
        mSecond = digest.getLong();
        mThird = digest.getLong();
        mFourth = digest.getLong();
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha.digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(ByteBuffer.wrap(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof KeyDigest that
                && ((mFirst ^ that.mFirst)
                                | (mSecond ^ that.mSecond)
                                | (mThird ^ that.mThird)
                                | (mFourth ^ that.mFourth))
                        == 0;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mFirst);
    }

    @Override
    public String toString() {
        return "key";
    }
}
