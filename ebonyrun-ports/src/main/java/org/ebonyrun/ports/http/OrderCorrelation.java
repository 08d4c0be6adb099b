package org.ebonyrun.ports.http;

/** Takes each answer for that to the oldest request. */
enum OrderCorrelation implements Correlation {
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
        return true;
    }
}
