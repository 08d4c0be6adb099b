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

/** Operators who change the configuration, and what they were told. Not thread safe. */
final class VirtualOperators {
    private static final long RETRY_NANOS = Nanos.ofMillis(1_000);
    private static final int MAX_TRIES = 8;
    private static final long SPREAD_NANOS = Nanos.ofMillis(14_000);

    private final VirtualDeployment mWorld;
    private final Map<Long, String> mAccepted = new HashMap<>();
    private final List<String> mNotInForce = new ArrayList<>();
    private final List<String> mWrong = new ArrayList<>();
    private final Set<String> mRefused = new HashSet<>();
    private int mNonces;

    VirtualOperators(VirtualDeployment world) {
        mWorld = world;
    }

    /** Applies a text at one entry, on top of the version that is in force there. */
    void apply(int turn, String text) {
        apply(turn, text, "nonce-" + mNonces++, MAX_TRIES);
    }

    /** Repeats the same change while the key-value service is away, as the client does. */
    private void apply(int turn, String text, String nonce, int triesLeft) {
        mWorld.applyConfig(
                turn,
                text,
                nonce,
                result ->
                        result.fold(
                                config -> {
                                    accepted(config.version(), nonce);
                                    return true;
                                },
                                fault -> {
                                    if (fault.outcome() == Outcome.FAILED) {
                                        mWrong.add("operator was told " + fault);
                                    }
                                    if (fault.code() == FaultCode.CONFLICT) {
                                        mRefused.add(nonce);
                                    }
                                    boolean away = fault.code() == FaultCode.PLATFORM_UNAVAILABLE;
                                    if (away && triesLeft > 0) {
                                        Runnable again =
                                                () -> apply(turn + 1, text, nonce, triesLeft - 1);
                                        mWorld.clock().schedule(RETRY_NANOS, again);
                                    }
                                    return false;
                                }));
    }

    /** Returns the highest version that an operator was told is accepted. */
    long highestAcceptedVersion() {
        return mAccepted.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** Returns what operators were told that is not true. */
    List<String> findViolations() {
        List<String> wrong = new ArrayList<>(mWrong);
        ConfigStore.create(mWorld.store())
                .read()
                .thenAccept(
                        result ->
                                result.map(
                                        current -> {
                                            compare(current.config().nonces(), wrong);
                                            return true;
                                        }));
        mWorld.clock().runUntil(mWorld.clock().now() + SPREAD_NANOS);
        return wrong;
    }

    private void compare(List<String> stored, List<String> wrong) {
        for (String nonce : mAccepted.values()) {
            if (!stored.contains(nonce)) {
                wrong.add(nonce + " was called accepted but is not stored");
            }
        }
        for (String nonce : mRefused) {
            if (stored.contains(nonce)) {
                wrong.add(nonce + " was called refused but is stored");
            }
        }
    }

    /** Returns processes that lacked an accepted version 14 seconds later. */
    List<String> lateProcesses() {
        return mNotInForce;
    }

    private void accepted(long version, String nonce) {
        String other = mAccepted.putIfAbsent(version, nonce);
        if (other != null && !other.equals(nonce)) {
            mWrong.add("version " + version + " was given to two operators");
        }
        mWorld.clock()
                .schedule(
                        SPREAD_NANOS,
                        () ->
                                mWorld.processesBelowConfigVersion(version)
                                        .forEach(
                                                name ->
                                                        mNotInForce.add(
                                                                name + " lacks " + version)));
    }
}
