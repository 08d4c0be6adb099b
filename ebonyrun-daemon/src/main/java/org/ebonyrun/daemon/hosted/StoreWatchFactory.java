package org.ebonyrun.daemon.hosted;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Creates the watches of an entry, which report to its {@link StoreHealth}.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StoreWatchFactory {
    private final SharedStore mStore;
    private final Executor mExecutor;
    private final StoreHealth mHealth;

    StoreWatchFactory(SharedStore store, Executor executor, StoreHealth health) {
        mStore = store;
        mExecutor = executor;
        mHealth = health;
    }

    /**
     * Creates a watch; {@link StoreWatch#start} begins it.
     *
     * @param timing supplies the timing to use at present
     */
    StoreWatch create(
            String prefix,
            Supplier<StoreWatch.Timing> timing,
            Consumer<List<StoreItem>> onSnapshot,
            Consumer<StoreChange> onChange) {
        return new StoreWatch(
                mStore,
                prefix,
                timing,
                mExecutor,
                new StoreWatch.Listener() {
                    @Override
                    public void onSnapshot(List<StoreItem> items) {
                        onSnapshot.accept(items);
                    }

                    @Override
                    public void onChange(StoreChange change) {
                        onChange.accept(change);
                    }

                    @Override
                    public void onResponse() {
                        mHealth.onResponse(System.nanoTime());
                    }

                    @Override
                    public void onFault(Fault fault) {
                        mHealth.onWatchFault(prefix + ": " + fault.detail(), System.nanoTime());
                    }
                });
    }
}
