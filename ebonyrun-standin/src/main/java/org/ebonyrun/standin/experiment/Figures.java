package org.ebonyrun.standin.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures of one run, or their means over several.
 *
 * @param inTime share of answered calls that were in time
 * @param refused share of calls that were refused as not run
 * @param failed share of calls that ended otherwise
 * @param p50Millis median lateness of answered calls, in milliseconds
 * @param p99Millis 99th percentile of it, in milliseconds
 * @param idleSeconds mean time that a trainer waited for a step, in seconds
 * @param steps completed steps of all trainers
 * @param meanAge mean age of delivered samples, in versions
 * @param maxAge age of the oldest delivered sample, in versions
 * @param wasted share of generated tokens that nobody got
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
