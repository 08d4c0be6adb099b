package org.ebonyrun.standin.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures of one policy in one scenario.
 *
 * @param deployment the deployment
 * @param scenario the scenario
 * @param policy the policy
 * @param seeds how many seeds the means are over
 * @param mean the mean of each figure
 * @param idleSpread the standard deviation of the idle time over the seeds, in seconds
 */
public record Row(
        @JsonProperty("deployment") String deployment,
        @JsonProperty("scenario") String scenario,
        @JsonProperty("policy") String policy,
        @JsonProperty("seeds") int seeds,
        @JsonProperty("mean") Figures mean,
        @JsonProperty("idle_spread_s") double idleSpread) {}
