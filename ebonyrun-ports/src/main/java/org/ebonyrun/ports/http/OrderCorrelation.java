package org.ebonyrun.ports.http;

/** Takes each answer for that to the oldest request. */
enum OrderCorrelation implements Correlation {
    INSTANCE
}
