package org.ebonyrun.base.eventloop;

import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Callbacks of futures that run on an event loop.
 *
 * <p>Stateless and thread safe.
 */
public final class EventLoopCallbacks {
    private EventLoopCallbacks() {}

    /**
     * Returns a callback whose exceptions and errors are rethrown on the event loop. A future would
     * keep them to itself, and nobody would learn of them.
     *
     * @param executor runs tasks on the event loop
     */
    public static <T> Consumer<T> rethrowing(Executor executor, Consumer<? super T> callback) {
        return value -> {
            try {
                callback.accept(value);
            } catch (RuntimeException e) {
                executor.execute(
                        () -> {
                            throw e;
                        });
            } catch (Error e) {
                executor.execute(
                        () -> {
                            throw e;
                        });
            }
        };
    }
}
