package org.ebonyrun.core.step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.route.StepOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SubmissionWaitTest {
    private static final double RELATIVE_SPREAD = 0.2;
    private static final long SUBMITTED_EVERY_MILLIS = 100;
    private static final long DUE_MILLIS = 7_500;
    private static final long CALLER_MILLIS = 12_000;

    @ParameterizedTest
    @CsvSource({
        "7500, 12000, 7500",
        "7500, 1000, 800",
        "0, 12000, 0",
        "7500, 0, 0",
        "7500, 9223372036854775807, 7500"
    })
    void aSubmissionWaitsWhileItsResultsCanBeInTime(
            long dueMillis, long callerMillis, long expectedMillis) {
        StepOptions options = new StepOptions(dueMillis, 40_000, false);

        assertThat(
                SubmissionWait.maxNanos(options, callerMillis), is(Nanos.ofMillis(expectedMillis)));
    }

    @ParameterizedTest
    @CsvSource({"0, 300", "100, 300", "2500, 2500", "60000, 4000"})
    void aRefusedCallerComesBackAfterAsLongAsTheOutageHasLasted(
            long outageMillis, long expectedMillis) {
        long outage = Nanos.ofMillis(outageMillis);
        for (double random : new double[] {0, 0.5, 1}) {
            assertThat(
                    (double) SubmissionWait.retryAfterMillis(outage, random),
                    closeTo(expectedMillis, RELATIVE_SPREAD * expectedMillis + 1));
        }
        assertThat(
                SubmissionWait.retryAfterMillis(outage, 1),
                greaterThan(SubmissionWait.retryAfterMillis(outage, 0)));
    }

    /** Plays trainers that submit during an outage and may ask twice; counts what is accepted. */
    @ParameterizedTest
    @CsvSource({"2000", "4300", "7000"})
    void moreStepsAreAcceptedWhileTheyCanBeInTimeThanIfAllWereRefused(long outageMillis) {
        StepOptions options = new StepOptions(DUE_MILLIS, 40_000, false);
        long wait = Nanos.toMillis(SubmissionWait.maxNanos(options, CALLER_MILLIS));
        int waiting = 0;
        int refusedAtFirst = 0;
        int fixedRetryAfter = 0;
        int submissions = 0;
        for (long at = 0; at < outageMillis; at += SUBMITTED_EVERY_MILLIS) {
            submissions++;
            long left = outageMillis - at;
            waiting += left < wait ? 1 : 0;
            long retryAfter = SubmissionWait.retryAfterMillis(Nanos.ofMillis(at), 0.5);
            refusedAtFirst += left <= retryAfter ? 1 : 0;
            fixedRetryAfter += left <= 300 ? 1 : 0;
        }

        assertThat(waiting, is(submissions));
        assertThat(waiting, greaterThan(refusedAtFirst));
        assertThat(refusedAtFirst, greaterThan(fixedRetryAfter));
    }

    @Test
    void refusedCallersDoNotComeBackAtOneMoment() {
        long outage = Nanos.ofMillis(3_000);

        assertThat(
                SubmissionWait.retryAfterMillis(outage, 0.9)
                        - SubmissionWait.retryAfterMillis(outage, 0.1),
                greaterThan(500L));
    }
}
