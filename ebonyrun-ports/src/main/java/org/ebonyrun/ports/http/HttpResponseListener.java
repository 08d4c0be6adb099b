package org.ebonyrun.ports.http;

/** Receives one HTTP response. Called on I/O threads, in order; must not block. */
public interface HttpResponseListener {
    /**
     * Called once, before anything is sent.
     *
     * @param exchange the exchange, which can be cancelled or paused
     */
    default void onStart(HttpExchange exchange) {}

    /** Called when the status line and headers have arrived. */
    void onHead(HttpResponseHead head);

    /** Called for each part of the body. */
    void onData(byte[] data);

    /** Called once when the body is complete. */
    void onEnd();

    /**
     * Called once, instead of {@link #onEnd}, when the exchange has failed.
     *
     * @param sent whether any byte of the request may have been sent
     */
    void onFailure(boolean sent, String detail);
}
