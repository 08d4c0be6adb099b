package org.ebonyrun.core.scaling;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;

/**
 * Foresees the places that trainers' steps need, from the steps that the trainers submitted so far.
 *
 * <p>Load that it answers: trainers that submit steps of similar size at similar intervals. A
 * trainer counts until it has been silent for three intervals, or, after its first step, for twice
 * the time until that step is due.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
public final class StepForecast {
    private static final int MAX_STEPS = 8;
    private static final int MAX_TRAINERS = 256;
    private static final int MAX_SILENT_INTERVALS = 3;

    /**
     * A submitted step.
     *
     * @param trainer what distinguishes the trainer from others
     * @param service the service that runs the samples
     * @param number the trainer's number of the step
     * @param samples the number of its samples
     * @param acceptedAt when it was accepted, in Unix milliseconds
     * @param dueMillis the time from its acceptance until it is due, in milliseconds
     */
    public record SubmittedStep(
            String trainer,
            ServiceName service,
            int number,
            int samples,
            long acceptedAt,
            long dueMillis) {
        /** Checks the number of samples and the due time. */
        public SubmittedStep {
            checkArgument(samples > 0, "step %s has %s samples", number, samples);
            checkArgument(dueMillis > 0, "step %s is due after %s ms", number, dueMillis);
        }
    }

    private static final class Trainer {
        final Deque<SubmittedStep> mSteps = new ArrayDeque<>();
        long mSeenAt;

        double intervalSeconds() {
            SubmittedStep first = mSteps.getFirst();
            SubmittedStep last = mSteps.getLast();
            int steps = last.number() - first.number();
            double millis = last.acceptedAt() - first.acceptedAt();
            return steps <= 0 || millis <= 0 ? 0 : millis / steps / 1_000;
        }

        double maxSilentSeconds() {
            double interval = intervalSeconds();
            double due = mSteps.getLast().dueMillis() / 1_000.0;
            return interval > 0 ? Math.max(due, MAX_SILENT_INTERVALS * interval) : 2 * due;
        }

        double places(double secondsPerSample) {
            SubmittedStep step = mSteps.getLast();
            double window = Math.max(secondsPerSample, step.dueMillis() / 2_000.0);
            double interval = intervalSeconds();
            if (interval > 0) {
                window = Math.min(window, interval);
            }
            return step.samples() * secondsPerSample / window;
        }
    }

    private final Map<String, Trainer> mTrainers = new HashMap<>();

    /** Handles a step that was submitted; one that is not newer than the last one is ignored. */
    public void onStep(SubmittedStep step, long now) {
        if (!mTrainers.containsKey(step.trainer()) && mTrainers.size() >= MAX_TRAINERS) {
            return;
        }
        Trainer trainer = mTrainers.computeIfAbsent(step.trainer(), name -> new Trainer());
        SubmittedStep last = trainer.mSteps.peekLast();
        if (last != null && !last.service().equals(step.service())) {
            trainer.mSteps.clear();
        } else if (last != null && step.number() <= last.number()) {
            return;
        }
        trainer.mSteps.addLast(step);
        if (trainer.mSteps.size() > MAX_STEPS) {
            trainer.mSteps.removeFirst();
        }
        trainer.mSeenAt = now;
    }

    /** Returns the number of places that the steps of a service need. */
    public double places(ServiceName service, double secondsPerSample, long now) {
        double places = 0;
        for (Iterator<Trainer> each = mTrainers.values().iterator(); each.hasNext(); ) {
            Trainer trainer = each.next();
            if ((now - trainer.mSeenAt) / (double) Nanos.PER_SECOND > trainer.maxSilentSeconds()) {
                each.remove();
            } else if (trainer.mSteps.getLast().service().equals(service)) {
                places += trainer.places(secondsPerSample);
            }
        }
        return places;
    }
}
