package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.ebonyrun.base.memory.MemoryRefusedException;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;

/** Reads prefixes of the shared store that span several pages. Stateless and thread safe. */
final class StorePages {
    /** The most items that are read; a prefix with more is a fault, and never read in part. */
    static final int MAX_ITEMS = 500_000;

    private StorePages() {}

    /**
     * Reads all pages of a prefix into one, with the revision of the first page. Pages are not a
     * snapshot: changes after that revision may be missing.
     */
    static CompletableFuture<Result<StorePage>> readAll(SharedStore store, String prefix) {
        List<StoreItem> items = new ArrayList<>();
        return forEach(store, prefix, "", items::add)
                .thenApply(result -> result.map(first -> new StorePage(items, false, first)));
    }

    /**
     * Passes the items of all pages of a prefix to a sink, page by page, and returns the revision
     * of the first page. Pages are not a snapshot: changes after that revision may be missing.
     *
     * @param after the key after which the items begin; empty for all
     * @param sink called by one thread at a time; what it throws for a malformed item or for want
     *     of memory ends the read with a fault
     */
    static CompletableFuture<Result<Long>> forEach(
            SharedStore store, String prefix, String after, Consumer<StoreItem> sink) {
        return forEachWhile(
                store,
                prefix,
                after,
                item -> {
                    sink.accept(item);
                    return true;
                });
    }

    /** As {@link #forEach}, until the sink returns false for an item. */
    static CompletableFuture<Result<Long>> forEachWhile(
            SharedStore store, String prefix, String after, Predicate<StoreItem> sink) {
        return forEach(store, prefix, after, sink, 0, 0);
    }

    private static CompletableFuture<Result<Long>> forEach(
            SharedStore store,
            String prefix,
            String after,
            Predicate<StoreItem> sink,
            int count,
            long revision) {
        return store.range(prefix, after)
                .thenCompose(
                        result ->
                                result.fold(
                                        page -> pass(store, prefix, page, sink, count, revision),
                                        fault -> failed(fault)));
    }

    private static CompletableFuture<Result<Long>> pass(
            SharedStore store,
            String prefix,
            StorePage page,
            Predicate<StoreItem> sink,
            int before,
            long revision) {
        boolean goesOn;
        try {
            goesOn = page.items().stream().allMatch(sink);
        } catch (IllegalArgumentException e) {
            return failed(
                    Fault.unknown(
                            FaultCode.PLATFORM_UNAVAILABLE,
                            "store.range",
                            "",
                            "a stored value is malformed: " + e.getMessage()));
        } catch (MemoryRefusedException e) {
            return failed(Fault.notRun(FaultCode.OVERLOADED, "store.range", "", e.getMessage()));
        }
        int count = before + page.items().size();
        long first = revision == 0 ? page.revision() : revision;
        if (!goesOn || !page.truncated() || page.items().isEmpty()) {
            return CompletableFuture.completedFuture(Result.ok(first));
        }
        if (count >= MAX_ITEMS) {
            String detail = "prefix " + prefix + " has more than " + MAX_ITEMS + " keys";
            return failed(Fault.unknown(FaultCode.PLATFORM_UNAVAILABLE, "store.range", "", detail));
        }
        String last = page.items().get(page.items().size() - 1).key();
        return forEach(store, prefix, last, sink, count, first);
    }

    private static CompletableFuture<Result<Long>> failed(Fault fault) {
        return CompletableFuture.completedFuture(Result.err(fault));
    }
}
