package org.ebonyrun.daemon.hosted;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ebonyrun.base.eventloop.EventLoopCallbacks;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.LimitNotice;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.workspace.Workspaces;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Gives the components of an entry access to what they share.
 *
 * <p>Must be called on the entry's event loop, except for {@link #executor} and {@link #settings},
 * which are thread safe.
 */
interface HostedContext {
    /** Returns an executor that runs tasks on the entry's event loop. */
    Executor executor();

    /** Returns a callback of a future whose exceptions are rethrown on the entry's event loop. */
    default <T> Consumer<T> callback(Consumer<T> callback) {
        return EventLoopCallbacks.rethrowing(executor(), callback);
    }

    /** Returns which mechanisms are enabled; constant for the life of the process. */
    default Policy policy() {
        return settings().policy();
    }

    /** Returns the settings, whose limits may change; thread safe. */
    HostedSettings settings();

    /** Schedules a task to run on the entry's event loop after a delay. */
    void schedule(long nanos, Runnable task);

    /** Returns what is known of the availability of the shared store. */
    StoreHealth storeHealth();

    /** Returns the log. */
    EventLog log();

    /** Returns the metrics. */
    EntryMetrics metrics();

    /** Returns the account of the memory that is held for callers and trainers. */
    MemoryAccount memory();

    /** Returns the entry's lease. */
    EntryLease lease();

    /** Returns the directory of the steps in the shared store. */
    StepDirectory directory();

    /** Returns the name that this process writes into the keys that it owns. */
    ProcessName self();

    /**
     * Returns a step's owner key after a claim of this process: the one that the claim wrote, or
     * that an earlier claim of this process wrote; null if this process has none.
     *
     * @param claim the outcome of the claim
     * @param lease the lease to which the claim attached the key
     */
    default @Nullable OwnerKey ownKey(CommitResult claim, StepId id, long lease) {
        if (claim.isCommitted()) {
            return new OwnerKey(claim.revision(), lease);
        }
        String key = StoreKeys.liveKey(id, StoreKeys.OWNER);
        for (StoreItem item : claim.current()) {
            if (item.key().equals(key) && item.text().equals(self().format())) {
                return OwnerKey.of(item);
            }
        }
        return null;
    }

    /** Handles an endpoint's announcement that it is leaving: it gets no new work. */
    void onEndpointLeaving(EndpointRecord endpoint);

    /**
     * Handles what a response says about the limit of the endpoint that sent it.
     *
     * @param sentAt when the request of that response was sent
     */
    void onLimitNotice(EndpointRecord endpoint, LimitNotice notice, long sentAt);

    /** Returns whether a configuration has been read. */
    boolean hasConfiguration();

    /**
     * Returns when the store last confirmed that the configuration in force is the newest, by
     * System.nanoTime().
     */
    long configurationReadAt();

    /** Returns the workspaces of the configuration in force. */
    Workspaces workspaces();

    /** Returns the route of a stored step; empty if the current configuration has none for it. */
    Optional<Route> routeOf(StepManifest manifest);

    /**
     * Reads the newest configuration from the shared store and applies it.
     *
     * @param callback receives whether the read succeeded and a configuration is in force
     */
    void refreshRoutes(Consumer<Boolean> callback);
}
