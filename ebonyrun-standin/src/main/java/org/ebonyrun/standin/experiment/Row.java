package org.ebonyrun.standin.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures of one policy in one scenario, written as JSON.
 *
 * @param deployment the name of the deployment
 * @param scenario the name of the scenario
 * @param policy the name of the policy
 * @param seeds number of seeds, each of which gives one run
 * @param mean the mean of each figure over the seeds
 * @param idleSpread the standard deviation of the trainers' idle time over the seeds, in seconds
 */
public record Row(
        @JsonProperty("deployment") String deployment,
        @JsonProperty("scenario") String scenario,
        @JsonProperty("policy") String policy,
        @JsonProperty("seeds") int seeds,
        @JsonProperty("mean") Figures mean,
        @JsonProperty("idle_spread_s") double idleSpread) {}
