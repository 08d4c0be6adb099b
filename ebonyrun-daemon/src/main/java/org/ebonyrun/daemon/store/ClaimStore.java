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
 * Claims the keys of non-idempotent requests, so that a key runs at most once whichever entry gets
 * it.
 *
 * <p>Thread safe.
 */
public final class ClaimStore {
    private static final long TTL_MILLIS = 7 * 24 * 3_600_000L;
    private static final long RETRY_MILLIS = 500;
    private static final String STEP = "claim.write";

    private final KeyValueStore mStore;
    private final ConditionalWriter mWriter;

    private ClaimStore(KeyValueStore store) {
        mStore = store;
        mWriter = ConditionalWriter.create(store);
    }

    /** Creates a store of claims. */
    public static ClaimStore create(KeyValueStore store) {
        return new ClaimStore(store);
    }

    /**
     * A claim that this process holds.
     *
     * @param key the key in the key-value service
     * @param revision its revision
     */
    public record Claim(String key, long revision) {}

    /**
     * Claims a key.
     *
     * @param nonce marks this try, so that a claim whose answer was lost is recognised
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
                                        outcome -> claimed(path, outcome), ClaimStore::refused));
    }

    /** Gives a claim back whose request is known not to have run. */
    public void release(Claim claim) {
        mStore.delete(claim.key(), claim.revision());
    }

    private static Result<Claim> claimed(String path, WriteOutcome outcome) {
        if (outcome.applied()) {
            return Result.ok(new Claim(path, outcome.revision()));
        }
        return Result.err(
                Fault.notRun(
                        FaultCode.ALREADY_CLAIMED,
                        STEP,
                        "",
                        "an earlier request has this key; this one did not run"));
    }

    private static Result<Claim> refused(Fault fault) {
        return Result.err(
                new Fault(
                        FaultCode.PLATFORM_UNAVAILABLE,
                        Outcome.NOT_RUN,
                        STEP,
                        fault.peer(),
                        "the key could not be claimed: " + fault.detail(),
                        RETRY_MILLIS));
    }
}
