package org.ebonyrun.core.step;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Predicts when samples and their groups complete, from observed lengths of texts and speeds of
 * endpoints.
 *
 * <p>Designed for pools of engines of differing speed and texts of differing length: a trainer
 * waits for whole groups, so a run may be slow without delaying anybody, as long as it ends before
 * the longest one of its group.
 *
 * <p>All times are relative to now, in nanoseconds. Not thread safe; confined to the event loop of
 * its {@link StepMachine}.
 */
final class GroupForecast {
    private static final int MAX_ROUTES = 256;

    private final Map<String, RunStatistics> mStatistics =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, RunStatistics> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /** Returns the statistics of the runs of a sample's route. */
    RunStatistics statistics(SampleProgress sample) {
        return mStatistics.computeIfAbsent(
                sample.mStep.mRoute.name(), route -> new RunStatistics());
    }

    /** Returns whether the lengths of texts like a sample's are known. */
    boolean predictsLength(SampleProgress sample) {
        return statistics(sample).predictsLength();
    }

    /** Returns the time from sending a run of the sample to its first event; zero if unknown. */
    double startNanos(SampleProgress sample) {
        return statistics(sample).startNanos();
    }

    /**
     * Returns when a sample ends if it is sent to an endpoint now.
     *
     * @param latency the time between two events at the endpoint
     */
    double endIfSent(SampleProgress sample, double latency) {
        return endIfSent(sample, statistics(sample), latency);
    }

    /**
     * Returns when a running sample ends where it is.
     *
     * @param bestLatency the lowest time between two events at any endpoint of the service
     */
    double endIfKept(SampleProgress sample, double bestLatency) {
        return endIfKept(sample, statistics(sample), bestLatency);
    }

    /** Returns when a sample's group completes if all its samples may be sent to fast endpoints. */
    double earliestGroupEnd(SampleProgress sample, double bestLatency) {
        RunStatistics statistics = statistics(sample);
        double end = 0;
        for (SampleProgress member : sample.mStep.group(sample.mSpec.group())) {
            double memberEnd =
                    Math.min(
                            endIfKept(member, statistics, bestLatency),
                            endIfSent(member, statistics, bestLatency));
            end = Math.max(end, memberEnd);
        }
        return end;
    }

    private static double endIfKept(
            SampleProgress sample, RunStatistics statistics, double bestLatency) {
        Endpoint endpoint = sample.mEndpoint;
        double latency = endpoint == null ? 0 : endpoint.latencyNanos();
        return switch (sample.mState) {
            case WAITING -> endIfSent(sample, statistics, bestLatency);
            case RUNNING -> remainingEvents(sample, statistics) * Math.max(bestLatency, latency);
            case SCORING, FINISHED -> 0;
        };
    }

    private static double endIfSent(
            SampleProgress sample, RunStatistics statistics, double latency) {
        return statistics.startNanos() + remainingEvents(sample, statistics) * latency;
    }

    private static double remainingEvents(SampleProgress sample, RunStatistics statistics) {
        return statistics.remainingEvents(sample.mSpec.expectedTokens(), sample.mEvents.size());
    }
}
