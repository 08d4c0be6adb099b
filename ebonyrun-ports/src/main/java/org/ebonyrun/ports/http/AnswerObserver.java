package org.ebonyrun.ports.http;

/** Hears of answers that no request may take. Called on I/O threads; must not block. */
public interface AnswerObserver {
    /** Called for each answer that is dropped. */
    void onDropped(DroppedAnswer answer);

    /** Returns an observer that ignores them. */
    static AnswerObserver none() {
        return answer -> {};
    }
}
