package org.ebonyrun.daemon.entry;

import java.util.function.Supplier;
import org.ebonyrun.base.eventloop.Command;
import org.ebonyrun.base.eventloop.EventLoop;
import org.ebonyrun.core.lease.LeaseListener;
import org.ebonyrun.core.lease.LeaseOutputs;
import org.ebonyrun.daemon.store.LeaseClient;

/**
 * Asks the key-value service about leases and hands its answers to the duty that holds them.
 *
 * <p>Immutable and thread safe.
 *
 * @param <M> the state machine of the duty
 */
final class LeaseOutputHandler<M extends LeaseListener> implements LeaseOutputs {
    private final Supplier<LeaseClient> mClient;
    private final Supplier<EventLoop<Command<M>>> mDuty;

    LeaseOutputHandler(Supplier<LeaseClient> client, Supplier<EventLoop<Command<M>>> duty) {
        mClient = client;
        mDuty = duty;
    }

    @Override
    public void acquire(String key) {
        mClient.get()
                .acquire(key)
                .thenApply(
                        result ->
                                result.<Command<M>>fold(
                                        reading -> (m, now) -> m.onLeaseRecord(key, reading, now),
                                        fault -> (m, now) -> m.onLeaseUnavailable(key, now)))
                .thenAccept(command -> mDuty.get().post(command));
    }

    @Override
    public void renew(String key, long revision) {
        mClient.get()
                .renew(key, revision)
                .thenApply(
                        result ->
                                result.<Command<M>>fold(
                                        granted -> (m, now) -> m.onLeaseRenewed(key, granted, now),
                                        fault -> (m, now) -> m.onLeaseUnavailable(key, now)))
                .thenAccept(command -> mDuty.get().post(command));
    }
}
