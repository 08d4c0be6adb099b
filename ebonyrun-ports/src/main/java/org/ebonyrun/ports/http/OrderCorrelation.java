package org.ebonyrun.ports.http;

/** Assigns each response to the oldest pending request. */
enum OrderCorrelation implements Correlation {
    INSTANCE
}
