package org.ebonyrun.base.eventloop;

/**
 * One event for a state machine: a call of one of its methods at the time of handling.
 *
 * @param <S> the type of the state machine
 */
@FunctionalInterface
public interface Command<S> {
    /**
     * Applies the event.
     *
     * @param now the monotonic time in nanoseconds
     */
    void apply(S machine, long now);
}
