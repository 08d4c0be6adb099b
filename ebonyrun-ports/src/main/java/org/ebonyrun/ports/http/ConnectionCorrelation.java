package org.ebonyrun.ports.http;

/** Gives a request a connection for itself, so that no other answer can arrive there. */
enum ConnectionCorrelation implements Correlation {
    INSTANCE;

    @Override
    public boolean sharesConnection() {
        return false;
    }
}
