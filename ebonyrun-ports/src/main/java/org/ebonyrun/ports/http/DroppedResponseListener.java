package org.ebonyrun.ports.http;

/** Hears of answers that no request may take. Called on I/O threads; must not block. */
public interface DroppedResponseListener {
    /** Called for each answer that is dropped. */
    void onDroppedResponse(DroppedResponse answer);

    /** Returns an observer that ignores them. */
    static DroppedResponseListener none() {
        return answer -> {};
    }
}
