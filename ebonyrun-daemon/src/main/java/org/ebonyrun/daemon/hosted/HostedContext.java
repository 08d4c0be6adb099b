package org.ebonyrun.daemon.hosted;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;

/**
 * What the parts of an entry share.
 *
 * <p>Called on the entry's duty, but for {@link #executor} and {@link #policy}, which are thread
 * safe.
 */
interface HostedContext {
    /** Runs tasks on the entry's duty. */
    Executor executor();

    /** Returns which mechanisms are used; the same for the whole life of the process. */
    Policy policy();

    /** Runs a task on the entry's duty after a time. */
    void schedule(long nanos, Runnable task);

    /** Returns whether the shared store does not answer. */
    boolean isStoreUnavailable();

    /** Returns the log. */
    EventLog log();

    /** Returns the metrics. */
    EntryMetrics metrics();

    /** Returns the entry's lease. */
    EntryLease lease();

    /** Returns what is known of steps. */
    StepDirectory directory();

    /** Returns the name under which this process owns keys. */
    ProcessName self();

    /** Returns the revision of a step's owner key if this process wrote it; zero if not. */
    default long ownRevision(CommitResult commit, StepId id) {
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        for (StoreItem item : commit.current()) {
            if (item.key().equals(key) && item.text().equals(self().format())) {
                return item.revision();
            }
        }
        return 0;
    }

    /** Returns whether a configuration is known. */
    boolean hasConfiguration();

    /** Returns the route of a stored step; empty if the configuration that is known has none. */
    Optional<Route> routeOf(StepManifest manifest);

    /** Takes the newest configuration in, and then tells whether it is in force here. */
    void refreshRoutes(Consumer<Boolean> then);
}
