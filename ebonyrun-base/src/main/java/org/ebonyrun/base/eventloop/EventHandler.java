package org.ebonyrun.base.eventloop;

/**
 * Handles the events of one event loop. All methods are called on the event loop's thread, so an
 * implementation needs no locks for state that is used on this thread only.
 *
 * @param <E> the type of event
 */
public interface EventHandler<E> {
    /**
     * Handles one event.
     *
     * @param now the monotonic time in nanoseconds
     */
    void onEvent(E event, long now);

    /**
     * Does periodic work.
     *
     * @param now the monotonic time in nanoseconds
     */
    default void onTick(long now) {}
}
