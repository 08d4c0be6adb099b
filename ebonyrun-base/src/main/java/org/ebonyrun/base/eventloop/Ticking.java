package org.ebonyrun.base.eventloop;

/** A state machine that does periodic work on the ticks of its event loop. */
@FunctionalInterface
public interface Ticking {
    /**
     * Does the work that is due.
     *
     * @param now the monotonic time in nanoseconds
     */
    void onTick(long now);
}
