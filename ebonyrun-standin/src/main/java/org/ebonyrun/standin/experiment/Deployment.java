package org.ebonyrun.standin.experiment;

import java.util.List;
import org.ebonyrun.standin.virtual.EngineModel;

/**
 * A deployment that experiments simulate.
 *
 * @param name the name in reports
 * @param engineService the name of the engine service
 * @param engineCount number of engines
 * @param domains names of the failure domains
 * @param callTargetMillis target latency of calls, in milliseconds
 * @param stalenessVersions staleness bound of the trainers, in versions
 * @param trainerIdleMillis tolerated idle time of a trainer, in milliseconds
 * @param trainers number of trainers that share the engines
 */
public record Deployment(
        String name,
        String engineService,
        int engineCount,
        List<String> domains,
        long callTargetMillis,
        long stalenessVersions,
        long trainerIdleMillis,
        int trainers) {
    /** Number of slots of each engine. */
    public static final int SLOTS = 8;

    /** Mean number of tokens in the response to a call. */
    public static final int CALL_TOKENS = 30;

    /** Mean number of tokens of a sample. */
    public static final int SAMPLE_TOKENS = 200;

    /** Number of tokens of a prompt. */
    public static final int PROMPT_TOKENS = 400;

    private static final long TOKEN_MICROS = 4_000;
    private static final double BATCH_SLOWDOWN = 0.6;
    private static final long PREFILL_MICROS = 150;

    /** Returns the deployment named Carpatica. */
    public static Deployment carpatica() {
        return new Deployment(
                "carpatica",
                "model-servers",
                6,
                List.of("hall-a", "hall-b", "hall-c"),
                800,
                1,
                20_000,
                2);
    }

    /** Returns the deployment named Tavua. */
    public static Deployment tavua() {
        return new Deployment(
                "tavua",
                "draft-models",
                6,
                List.of("lautoka-hall", "nadi-hall", "tavua-hall"),
                1_500,
                4,
                5_000,
                2);
    }

    /** Returns the performance model of the engines. */
    EngineModel engineModel() {
        return new EngineModel(
                false, SLOTS, TOKEN_MICROS, BATCH_SLOWDOWN, PREFILL_MICROS, 16, 8, 1_000, true);
    }

    /** Returns the throughput of all engines with all slots in use, in tokens per second. */
    double capacity() {
        return engineCount * SLOTS * 1e6 / (TOKEN_MICROS * (1 + BATCH_SLOWDOWN));
    }

    /** Returns the text of the operator configuration. */
    String config() {
        StringBuilder text = new StringBuilder();
        text.append("services: {").append(engineService).append(": {kind: engine}}\nclasses:\n");
        text.append("  lookup: {service: ").append(engineService).append(", kind: interactive, ");
        text.append("lateness: {quantile: 0.99, within: ").append(callTargetMillis);
        text.append("ms}}\n");
        for (int i = 0; i < trainers; i++) {
            text.append("  rollout-").append(i).append(": {service: ").append(engineService);
            text.append(", kind: rollout, staleness: ").append(stalenessVersions);
            text.append(" versions, trainer_idle: ").append(trainerIdleMillis).append("ms}\n");
        }
        return text.toString();
    }
}
