package org.ebonyrun.daemon.agent;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.ports.http.HttpExchange;

/** The open HTTP exchanges with an endpoint, by attempt. Thread safe. */
final class OpenExchanges {
    private final Map<AttemptId, HttpExchange> mOpen = new ConcurrentHashMap<>();

    void add(AttemptId id, HttpExchange exchange) {
        mOpen.put(id, exchange);
    }

    void remove(AttemptId id) {
        mOpen.remove(id);
    }

    void cancel(AttemptId id) {
        HttpExchange exchange = mOpen.remove(id);
        if (exchange != null) {
            exchange.cancel();
        }
    }
}
