package org.ebonyrun.core.step;

/**
 * Decides whether the migration of a run to a faster endpoint is worth its cost.
 *
 * <p>Designed for pools of engines of differing speed, in which most runs are at the slower ones: a
 * migration costs a connection, the prompt read again and a place at the faster engine, so that
 * only the runs for which their group waits migrate.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class MigrationGain {
    // A migration must gain at least this multiple of the time that a run takes to start.
    static final double MIN_GAIN_OF_START = 2;

    private final GroupForecast mForecast;

    MigrationGain(GroupForecast forecast) {
        mForecast = forecast;
    }

    /**
     * Returns by how many nanoseconds a running sample would end after the rest of its group, which
     * may migrate too, if it stayed where it is. Zero if a migration is not worth its cost.
     *
     * @param bestLatency the time between two events at the endpoint that it would migrate to
     */
    double gainNanos(SampleProgress sample, double bestLatency) {
        double here = mForecast.endIfKept(sample, bestLatency);
        double minGain = MIN_GAIN_OF_START * mForecast.startNanos(sample);
        if (here - mForecast.endIfSent(sample, bestLatency) < minGain) {
            return 0;
        }
        double gain = here - mForecast.earliestGroupEnd(sample, bestLatency);
        return gain < minGain ? 0 : gain;
    }
}
