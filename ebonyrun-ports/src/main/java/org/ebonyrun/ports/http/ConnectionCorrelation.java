package org.ebonyrun.ports.http;

/** Gives a request a new connection for itself, so that any answer on it is the own one. */
enum ConnectionCorrelation implements Correlation {
    INSTANCE;

    @Override
    public boolean sharesConnection() {
        return false;
    }
}
