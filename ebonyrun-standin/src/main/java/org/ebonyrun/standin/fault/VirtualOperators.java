package org.ebonyrun.standin.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.daemon.store.ConfigStore;
import org.ebonyrun.standin.virtual.VirtualDeployment;

/**
 * Virtual operators who change the configuration. Records the responses that they received.
 *
 * <p>Not thread safe.
 */
final class VirtualOperators {
    private static final long RETRY_NANOS = Nanos.ofMillis(1_000);
    private static final int MAX_RETRIES = 8;
    private static final long ADOPTION_NANOS = Nanos.ofMillis(14_000);

    private final VirtualDeployment mDeployment;
    private final Map<Long, String> mAcceptedNonces = new HashMap<>();
    private final List<String> mLateProcesses = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Set<String> mRefusedNonces = new HashSet<>();
    private int mNextNonce;

    VirtualOperators(VirtualDeployment deployment) {
        mDeployment = deployment;
    }

    /** Applies a configuration text at one entry, on top of the version adopted there. */
    void apply(int turn, String text) {
        apply(turn, text, "nonce-" + mNextNonce++, MAX_RETRIES);
    }

    /** Retries the same change while the key-value service is unavailable, as the client does. */
    private void apply(int turn, String text, String nonce, int retriesLeft) {
        mDeployment.applyConfig(
                turn,
                text,
                nonce,
                result ->
                        result.fold(
                                config -> {
                                    onAccepted(config.version(), nonce);
                                    return true;
                                },
                                fault -> {
                                    if (fault.outcome() == Outcome.FAILED) {
                                        mViolations.add("an operator got " + fault);
                                    }
                                    if (fault.code() == FaultCode.CONFLICT) {
                                        mRefusedNonces.add(nonce);
                                    }
                                    boolean unavailable =
                                            fault.code() == FaultCode.PLATFORM_UNAVAILABLE;
                                    if (unavailable && retriesLeft > 0) {
                                        Runnable retry =
                                                () -> apply(turn + 1, text, nonce, retriesLeft - 1);
                                        mDeployment.clock().schedule(RETRY_NANOS, retry);
                                    }
                                    return false;
                                }));
    }

    /** Returns the highest version reported to an operator as accepted; zero if there is none. */
    long highestAcceptedVersion() {
        return mAcceptedNonces.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /**
     * Returns the responses to operators that were wrong. Reads the stored configuration and
     * advances the clock by 14 s.
     */
    List<String> findViolations() {
        List<String> violations = new ArrayList<>(mViolations);
        ConfigStore.create(mDeployment.store())
                .read()
                .thenAccept(
                        result ->
                                result.map(
                                        current -> {
                                            compareWithStored(
                                                    current.config().nonces(), violations);
                                            return true;
                                        }));
        mDeployment.clock().runUntil(mDeployment.clock().now() + ADOPTION_NANOS);
        return violations;
    }

    private void compareWithStored(List<String> storedNonces, List<String> violations) {
        for (String nonce : mAcceptedNonces.values()) {
            if (!storedNonces.contains(nonce)) {
                violations.add(nonce + " was reported as accepted but is not stored");
            }
        }
        for (String nonce : mRefusedNonces) {
            if (storedNonces.contains(nonce)) {
                violations.add(nonce + " was reported as refused but is stored");
            }
        }
    }

    /** Returns the processes that had not adopted an accepted version 14 s later. */
    List<String> lateProcesses() {
        return mLateProcesses;
    }

    private void onAccepted(long version, String nonce) {
        String otherNonce = mAcceptedNonces.putIfAbsent(version, nonce);
        if (otherNonce != null && !otherNonce.equals(nonce)) {
            mViolations.add("version " + version + " was reported as accepted to two operators");
        }
        mDeployment
                .clock()
                .schedule(
                        ADOPTION_NANOS,
                        () ->
                                mDeployment
                                        .processesBelowConfigVersion(version)
                                        .forEach(
                                                name ->
                                                        mLateProcesses.add(
                                                                name
                                                                        + " lacks configuration "
                                                                        + version)));
    }
}
