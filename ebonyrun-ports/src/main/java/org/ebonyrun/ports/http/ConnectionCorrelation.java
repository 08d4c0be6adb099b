package org.ebonyrun.ports.http;

/** Uses a new connection for each request, so that any response on it belongs to the request. */
enum ConnectionCorrelation implements Correlation {
    INSTANCE;

    @Override
    public boolean sharesConnection() {
        return false;
    }
}
