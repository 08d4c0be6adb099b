package org.ebonyrun.ports.http;

/** Receives one HTTP response. Called on I/O threads, in order; must not block. */
public interface HttpResponseListener {
    /** Called when the status line and headers have arrived. */
    void onHead(HttpResponseHead head);

    /** Called for each piece of the body. */
    void onData(byte[] data);

    /** Called once when the body is complete. */
    void onEnd();

    /**
     * Called once instead of {@link #onEnd} when the exchange failed.
     *
     * @param sent whether a byte of the request may have left this process
     */
    void onFailure(boolean sent, String detail);
}
