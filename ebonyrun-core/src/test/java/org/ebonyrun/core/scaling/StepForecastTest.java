package org.ebonyrun.core.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.scaling.StepForecast.SubmittedStep;
import org.junit.jupiter.api.Test;

class StepForecastTest {
    private static final long SECOND = Nanos.PER_SECOND;
    private static final ServiceName SERVICE = ServiceName.of("s");

    private final StepForecast mForecast = new StepForecast();

    private void submit(String trainer, int number, int samples, long second) {
        mForecast.onStep(
                new SubmittedStep(trainer, SERVICE, number, samples, second * 1_000, 8_000),
                second * SECOND);
    }

    private double places(double secondsPerSample, long second) {
        return mForecast.places(SERVICE, secondsPerSample, second * SECOND);
    }

    @Test
    void samplesOfAStepRunInHalfOfTheTimeUntilItIsDue() {
        submit("t", 1, 100, 0);

        assertThat(places(1, 1), is(closeTo(25, 1e-9)));
        assertThat(places(10, 1), is(closeTo(100, 1e-9)));
        assertThat(places(0, 1), is(0.0));
        assertThat(mForecast.places(ServiceName.of("other"), 1, SECOND), is(0.0));
    }

    @Test
    void stepsAtShorterIntervalsNeedMore() {
        submit("t", 1, 100, 0);
        submit("t", 3, 100, 4);

        assertThat(places(1, 5), is(closeTo(50, 1e-9)));
        assertThat(places(4, 5), is(closeTo(200, 1e-9)));
    }

    @Test
    void aSilentTrainerIsForgotten() {
        submit("one", 1, 100, 0);
        assertThat(places(1, 16), is(closeTo(25, 1e-9)));
        assertThat(places(1, 17), is(0.0));

        submit("many", 1, 100, 20);
        submit("many", 2, 100, 30);
        assertThat(places(1, 60), is(closeTo(25, 1e-9)));
        assertThat(places(1, 61), is(0.0));
    }

    @Test
    void stepsThatAreSeenAgainOrLateChangeNothing() {
        submit("t", 5, 100, 0);
        submit("t", 5, 300, 1);
        submit("t", 4, 300, 2);

        assertThat(places(1, 3), is(closeTo(25, 1e-9)));
    }

    @Test
    void theNumberOfTrainersIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            submit("t" + i, 1, 4, 0);
        }

        assertThat(places(1, 1), is(closeTo(256, 1e-6)));
    }
}
