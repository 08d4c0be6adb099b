package org.ebonyrun.daemon.entry;

import java.util.function.Supplier;
import org.ebonyrun.base.eventloop.Command;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.core.lease.LeaseListener;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.daemon.store.LeaseClient;

/**
 * Sends requests about leases to the key-value service and posts the responses to the event loop of
 * the state machine that owns the leases.
 *
 * <p>Immutable and thread safe.
 *
 * @param <M> the type of the state machine
 */
final class LeaseOutputHandler<M extends LeaseListener> implements LeaseOutputs {
    private final Supplier<LeaseClient> mLeaseClient;
    private final Supplier<EventLoop<Command<M>>> mEventLoop;

    LeaseOutputHandler(
            Supplier<LeaseClient> leaseClient, Supplier<EventLoop<Command<M>>> eventLoop) {
        mLeaseClient = leaseClient;
        mEventLoop = eventLoop;
    }

    @Override
    public void acquire(String key) {
        mLeaseClient
                .get()
                .acquire(key)
                .thenApply(
                        result ->
                                result.<Command<M>>fold(
                                        current -> (m, now) -> m.onLeaseRecord(key, current, now),
                                        fault -> (m, now) -> m.onLeaseUnavailable(key, now)))
                .thenAccept(command -> mEventLoop.get().post(command));
    }

    @Override
    public void renew(String key, long revision) {
        mLeaseClient
                .get()
                .renew(key, revision)
                .thenApply(
                        result ->
                                result.<Command<M>>fold(
                                        granted -> (m, now) -> m.onLeaseRenewed(key, granted, now),
                                        fault -> (m, now) -> m.onLeaseUnavailable(key, now)))
                .thenAccept(command -> mEventLoop.get().post(command));
    }
}
