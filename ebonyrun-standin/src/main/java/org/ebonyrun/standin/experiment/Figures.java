package org.ebonyrun.standin.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures measured in one run, or their means over several runs.
 *
 * @param inTime share of answered calls that met the target latency
 * @param refused share of calls that were reported as not run
 * @param failed share of calls that were neither answered nor reported as not run
 * @param p50Millis median latency of answered calls, in milliseconds
 * @param p99Millis 99th percentile of the latency of answered calls, in milliseconds
 * @param idleSeconds mean time that a trainer waited for the samples of a step, in seconds
 * @param steps number of completed steps of all trainers
 * @param meanAge mean staleness of delivered samples, in versions
 * @param maxAge staleness of the stalest delivered sample, in versions; for several runs, their
 *     maximum instead of the mean
 * @param wasted share of generated tokens whose run ended without a delivery
 */
public record Figures(
        @JsonProperty("in_time") double inTime,
        @JsonProperty("refused") double refused,
        @JsonProperty("failed") double failed,
        @JsonProperty("p50_ms") double p50Millis,
        @JsonProperty("p99_ms") double p99Millis,
        @JsonProperty("idle_s") double idleSeconds,
        @JsonProperty("steps") double steps,
        @JsonProperty("mean_age") double meanAge,
        @JsonProperty("max_age") double maxAge,
        @JsonProperty("wasted") double wasted) {}
