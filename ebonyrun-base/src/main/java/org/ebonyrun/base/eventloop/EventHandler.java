package org.ebonyrun.base.eventloop;

/**
 * Handles the events of one duty. All methods are called on the duty's own thread, so an
 * implementation needs no locks for state that only it touches.
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
