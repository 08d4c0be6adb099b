package org.ebonyrun.daemon.hosted;

import java.util.Optional;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.workspace.Admission;
import org.ebonyrun.core.workspace.AdmissionPolicy;
import org.ebonyrun.core.workspace.KeyDigest;
import org.ebonyrun.core.workspace.Workspace;
import org.ebonyrun.core.workspace.Workspaces;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.ports.http.FrontExchange;
import org.ebonyrun.ports.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Checks the keys of callers against the configuration in force, and refuses callers without a
 * valid one.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class CallerKeys {
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    // The workspace that holds the key now is known already.
    private static final long MOVED_RETRY_AFTER_MILLIS = 50;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final HostedContext mContext;
    private final Supplier<AdmissionPolicy> mPolicy;
    private final LongUnaryOperator mSilenceNanos;
    private boolean mOutdated;

    /**
     * Creates an instance.
     *
     * @param silenceNanos returns, given the time, how long ago the store last confirmed the
     *     configuration, in nanoseconds
     */
    CallerKeys(
            HostedContext context,
            Supplier<AdmissionPolicy> policy,
            LongUnaryOperator silenceNanos) {
        mContext = context;
        mPolicy = policy;
        mSilenceNanos = silenceNanos;
    }

    /**
     * Decides whether a request is admitted.
     *
     * @param isPublic whether the request needs no key
     */
    Admission admit(FrontExchange caller, boolean isPublic) {
        Workspaces workspaces = mContext.workspaces();
        Optional<KeyDigest> key =
                workspaces.isEnabled() ? FrontProtocol.key(caller.headers()) : Optional.empty();
        long silence = mSilenceNanos.applyAsLong(System.nanoTime());
        return mPolicy.get().decide(workspaces, isPublic, key, silence);
    }

    /**
     * Returns whether a request that was admitted may still start to run for its workspace.
     *
     * @param workspace the workspace for which it was admitted; null if there is none
     */
    boolean isStillAdmitted(
            FrontExchange caller, @Nullable WorkspaceName workspace, boolean isPublic) {
        Workspaces workspaces = mContext.workspaces();
        return !workspaces.isEnabled()
                || (isPublic && workspace == null)
                || FrontProtocol.key(caller.headers())
                        .flatMap(workspaces::find)
                        .map(Workspace::name)
                        .filter(name -> name.equals(workspace))
                        .isPresent();
    }

    /** Responds to a request that is not admitted. */
    void refuse(FrontExchange caller, String id, Admission admission) {
        if (admission.outcome() == Admission.Outcome.OUTDATED) {
            mContext.metrics().count(EntryMetrics.CALLS, "keys outdated");
            HttpHeaders headers = FrontProtocol.retryAfterHeaders(id, RETRY_AFTER_MILLIS);
            respond(caller, id, UNAVAILABLE, headers, "the configuration may be outdated");
        } else {
            refuseKey(caller, id, "no workspace holds the key");
        }
    }

    /**
     * Responds to a request that may no longer start to run, and of which nothing ran. Its caller
     * may come again if it is admitted now, as when its key has moved to another workspace.
     */
    void refuseWithdrawn(FrontExchange caller, String id, boolean isPublic) {
        Admission admission = admit(caller, isPublic);
        if (admission.isAdmitted()) {
            mContext.metrics().count(EntryMetrics.CALLS, "key moved");
            HttpHeaders headers = FrontProtocol.retryAfterHeaders(id, MOVED_RETRY_AFTER_MILLIS);
            respond(caller, id, UNAVAILABLE, headers, "the workspace of the call has changed");
        } else if (admission.outcome() == Admission.Outcome.OUTDATED) {
            refuse(caller, id, admission);
        } else {
            refuseKey(caller, id, "the key was withdrawn");
        }
    }

    private void refuseKey(FrontExchange caller, String id, String why) {
        mContext.metrics().count(EntryMetrics.CALLS, "key refused");
        respond(caller, id, UNAUTHORIZED, FrontProtocol.requestIdHeaders(id), why);
    }

    private void respond(
            FrontExchange caller, String id, int status, HttpHeaders headers, String why) {
        mContext.log()
                .write(
                        LogLine.of("key.refused")
                                .with("request", id)
                                .with("status", status)
                                .with("why", why));
        caller.respond(status, headers, EMPTY_BODY);
    }

    /** Returns whether the configuration was read since the store was last unavailable. */
    boolean isConfigurationReadSinceOutage(long now) {
        return mSilenceNanos.applyAsLong(now) < mContext.storeHealth().nanosSinceOutage(now);
    }

    /** Returns whether keys may have been withdrawn unnoticed. */
    boolean isOutdated() {
        return mOutdated;
    }

    /** Logs when the configuration begins and ceases to be possibly outdated. */
    void onTick(long now) {
        long silence = mSilenceNanos.applyAsLong(now);
        AdmissionPolicy policy = mPolicy.get();
        boolean outdated = mContext.workspaces().isEnabled() && policy.isOutdated(silence);
        if (outdated != mOutdated) {
            mOutdated = outdated;
            mContext.log()
                    .write(
                            LogLine.of(outdated ? "keys.outdated" : "keys.current")
                                    .with("silent_ms", Nanos.toMillis(silence))
                                    .with("refuses_keys", outdated && policy.strict()));
        }
    }
}
