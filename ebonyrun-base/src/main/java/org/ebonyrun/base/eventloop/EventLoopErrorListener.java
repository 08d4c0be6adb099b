package org.ebonyrun.base.eventloop;

/** Receives the exceptions that an event loop survives. Called on the event loop's thread. */
public interface EventLoopErrorListener {
    /**
     * Called after the handling of an event or a tick has thrown.
     *
     * @param what what was being handled
     */
    void onException(String what, RuntimeException exception);
}
