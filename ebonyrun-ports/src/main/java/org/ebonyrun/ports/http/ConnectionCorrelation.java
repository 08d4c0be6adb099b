package org.ebonyrun.ports.http;

/** Gives a request a connection for itself, so that no other answer can arrive there. */
enum ConnectionCorrelation implements Correlation {
    INSTANCE;

    @Override
    public Owner owner(HttpHead head) {
        return Owner.OWN;
    }

    @Override
    public String id() {
        return "";
    }

    @Override
    public boolean sharesConnection() {
        return false;
    }
}
