package org.ebonyrun.daemon.store;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.kv.ConditionalWriter;
import org.ebonyrun.ports.kv.KeyValueStore;
import org.ebonyrun.ports.kv.WriteOutcome;

/**
 * Claims the keys of non-idempotent requests, so that at most one request with a key runs, even if
 * several entries receive one.
 *
 * <p>Thread safe.
 */
public final class ClaimStore {
    private static final long TTL_MILLIS = 7 * 24 * 3_600_000L;
    private static final long RETRY_AFTER_MILLIS = 500;
    private static final String STEP = "claim.write";

    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;

    private ClaimStore(KeyValueStore store) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
    }

    /** Creates a claim store on top of a key-value store. */
    public static ClaimStore create(KeyValueStore store) {
        return new ClaimStore(store);
    }

    /**
     * A claim that this process holds.
     *
     * @param key the key in the key-value service
     * @param revision the revision of the key
     */
    public record Claim(String key, long revision) {}

    /**
     * Claims a key.
     *
     * @param nonce identifies this attempt, so that the claim is recognized if the response to the
     *     write was lost
     * @return the claim, or a fault whose outcome is always {@code not-run}
     */
    public CompletableFuture<Result<Claim>> claim(ClassName className, String key, String nonce) {
        String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        String path = "claim/" + className + "/" + hash;
        byte[] value = nonce.getBytes(StandardCharsets.UTF_8);
        return mWriter.put(
                        path,
                        value,
                        KeyValueStore.ABSENT,
                        TTL_MILLIS,
                        stored -> Arrays.equals(stored, value))
                .thenApply(
                        result ->
                                result.fold(
                                        outcome -> toClaim(path, outcome), ClaimStore::notClaimed));
    }

    /** Releases a claim whose request is known not to have run. */
    public void release(Claim claim) {
        mStore.delete(claim.key(), claim.revision());
    }

    private static Result<Claim> toClaim(String path, WriteOutcome outcome) {
        if (outcome.applied()) {
            return Result.ok(new Claim(path, outcome.revision()));
        }
        return Result.err(
                Fault.notRun(
                        FaultCode.ALREADY_CLAIMED,
                        STEP,
                        "",
                        "an earlier request claimed this key; this request did not run"));
    }

    private static Result<Claim> notClaimed(Fault fault) {
        return Result.err(
                new Fault(
                        FaultCode.PLATFORM_UNAVAILABLE,
                        Outcome.NOT_RUN,
                        STEP,
                        fault.peer(),
                        "cannot claim the key: " + fault.detail(),
                        RETRY_AFTER_MILLIS));
    }
}
