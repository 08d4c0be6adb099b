package org.ebonyrun.base.eventloop;

/**
 * An event for a state machine: a deferred call of one of its methods.
 *
 * @param <S> the type of the state machine
 */
@FunctionalInterface
public interface Command<S> {
    /**
     * Calls the state machine.
     *
     * @param now the monotonic time of the call, in nanoseconds
     */
    void apply(S machine, long now);
}
