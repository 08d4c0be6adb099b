package org.ebonyrun.ports.http;

/** Receives the requests of a {@link FrontServer}. Called on the I/O thread; must not block. */
public interface FrontListener {
    /** Called with a complete request. Requests of one connection are passed one at a time. */
    void onRequest(FrontExchange exchange);

    /** Called when the caller closed its connection before the response was complete. */
    void onAbandoned(FrontExchange exchange);
}
