package org.ebonyrun.ports.http;

/** Receives responses that match no pending request. Called on I/O threads; must not block. */
public interface DroppedResponseListener {
    /** Called for each response that is dropped. */
    void onDroppedResponse(DroppedResponse response);

    /** Returns a listener that ignores dropped responses. */
    static DroppedResponseListener none() {
        return response -> {};
    }
}
