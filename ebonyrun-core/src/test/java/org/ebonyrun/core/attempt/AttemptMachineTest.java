package org.ebonyrun.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Outcome;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptMachineTest {
    private static final long LINK = 7;
    private static final TrainerId TRAINER = TrainerId.of("trainer");
    private static final byte[] BODY = {1};

    private final List<AttemptMessage> mSent = new ArrayList<>();
    private final List<AttemptId> mStarted = new ArrayList<>();
    private final List<AttemptId> mStopped = new ArrayList<>();
    private final AttemptMachine mMachine =
            AttemptMachine.create(
                    VmId.of("vm"),
                    new AttemptLimits(0, 4, 100),
                    AttemptPolicy.standard(),
                    new AttemptOutputs() {
                        @Override
                        public void send(long link, AttemptMessage message) {
                            mSent.add(message);
                        }

                        @Override
                        public void start(AttemptId id, Job job) {
                            mStarted.add(id);
                        }

                        @Override
                        public void stop(AttemptId id) {
                            mStopped.add(id);
                        }
                    });

    @BeforeEach
    void reportEndpointState() {
        mMachine.onEndpointState(3, 1, 0);
    }

    @Test
    void startsCallWithLeastLaxityFirst() {
        offerCall(1, 1_000);
        offerCall(2, 5_000);
        offerCall(3, 2_000);
        mMachine.onEnd(id(1), 200, "text/plain", 1);
        assertThat(mStarted, contains(id(1), id(3)));
    }

    @Test
    void ignoresDuplicateOffer() {
        offerCall(1, 1_000);
        offerCall(1, 1_000);
        assertThat(mStarted, hasSize(1));
        assertThat(mMachine.dump(0).duplicates(), is(1L));
    }

    @ParameterizedTest
    @CsvSource({"true,UNKNOWN,PEER_LOST", "false,NOT_RUN,PEER_LOST"})
    void reportsNotRunOnlyIfNothingWasSent(boolean sent, Outcome outcome, FaultCode code) {
        offerCall(1, 1_000);
        mMachine.onFailure(id(1), sent, code, "gone", 1);
        AttemptMessage last = mSent.get(0);
        Outcome reported =
                last instanceof AttemptMessage.Refused refused
                        ? refused.fault().outcome()
                        : ((AttemptMessage.Failed) last).fault().outcome();
        assertThat(reported, is(outcome));
    }

    @Test
    void reportsEveryVersionOfStream() {
        offerSample(1, 0, 1);
        mMachine.onPiece(id(1), BODY, 1, 3, 1);
        mMachine.onPiece(id(1), BODY, 1, 4, 2);
        mMachine.onEnd(id(1), 200, "text/plain", 3);
        AttemptMessage.SampleFinished finished = (AttemptMessage.SampleFinished) mSent.get(0);
        assertThat(finished.info().versions().values(), contains(3L, 4L));
    }

    @Test
    void holdsSampleUntilReleased() {
        finishSample(1, 0);
        mMachine.onMessage(LINK, new AttemptMessage.FetchSample(key(0)), 4);
        assertThat(lastContent().content(), is(BODY));
        mMachine.onMessage(LINK, new AttemptMessage.ReleaseSamples(List.of(key(0))), 5);
        mMachine.onMessage(LINK, new AttemptMessage.FetchSample(key(0)), 6);
        assertThat(lastContent().content() == null, is(true));
    }

    @Test
    void keepsFirstFinishedSampleOfSlot() {
        finishSample(1, 0);
        offerSample(2, 0, 1);
        mMachine.onPiece(id(2), new byte[] {9}, 1, 3, 5);
        mMachine.onEnd(id(2), 200, "text/plain", 6);
        mMachine.onMessage(LINK, new AttemptMessage.FetchSample(key(0)), 7);
        assertThat(lastContent().content(), is(BODY));
    }

    @Test
    void releasesSamplesOfInactiveOwner() {
        finishSample(1, 0);
        mMachine.onTick(Nanos.ofMillis(1_799_000));
        assertThat(mMachine.dump(0).held(), is(1));
        mMachine.onTick(Nanos.ofMillis(1_801_000));
        assertThat(mMachine.dump(0).held(), is(0));
    }

    @Test
    void refusesSamplesOfFencedOwner() {
        mMachine.onMessage(LINK, new AttemptMessage.HeldQuery(TRAINER, 1, 8), 0);
        offerSample(1, 0, 7);
        assertThat(lastRefusal().fault().code(), is(FaultCode.FENCED));
        assertThat(mStarted, empty());
    }

    @Test
    void refusesCallThatRequiresNewerWeights() {
        offer(1, job(WorkKind.CALL, 1_000, 4, null, 0));
        assertThat(lastRefusal().fault().code(), is(FaultCode.STALE_WEIGHTS));
    }

    @Test
    void drainingRefusesNewWorkAndCompletesAcceptedWork() {
        offerCall(1, 1_000);
        mMachine.onDrain();
        offerCall(2, 1_000);
        assertThat(lastRefusal().fault().code(), is(FaultCode.DRAINING));
        assertThat(mMachine.isIdle(), is(false));
        mMachine.onEnd(id(1), 200, "text/plain", 1);
        assertThat(mMachine.isIdle(), is(true));
    }

    @Test
    void lostLinkCancelsOnlyIdempotentCalls() {
        offerCall(1, 1_000);
        mMachine.onLinkClosed(LINK, 1);
        assertThat(mStopped, contains(id(1)));
        Job nonIdempotent =
                new Job(
                        WorkKind.CALL,
                        name(),
                        0.99,
                        1_000,
                        9_000,
                        false,
                        "/",
                        "t",
                        BODY,
                        0,
                        null,
                        0);
        offer(2, nonIdempotent);
        mMachine.onLinkClosed(LINK, 2);
        assertThat(mStopped, hasSize(1));
    }

    @Test
    void timesOutRunningAndQueuedAttempts() {
        offerCall(1, 1_000);
        offerCall(2, 1_000);
        mMachine.onTick(Nanos.ofMillis(9_000));
        assertThat(mStopped, contains(id(1)));
        assertThat(mSent.get(0), instanceOf(AttemptMessage.Failed.class));
        assertThat(lastRefusal().fault().code(), is(FaultCode.DEADLINE));
    }

    @Test
    void refusesCallPredictedToMissItsTarget() {
        offerCall(1, 1_000);
        mMachine.onEnd(id(1), 200, "text/plain", Nanos.ofMillis(600));
        offerCall(2, 10_000);
        offerCall(3, 700);
        assertThat(lastRefusal().fault().code(), is(FaultCode.OVERLOADED));
        assertThat(lastRefusal().fault().retryAfterMillis() > 0, is(true));
    }

    private void finishSample(long number, int slot) {
        offerSample(number, slot, 1);
        mMachine.onPiece(id(number), BODY, 1, 3, 1);
        mMachine.onEnd(id(number), 200, "text/plain", 2);
    }

    private void offerCall(long number, long targetMillis) {
        offer(number, job(WorkKind.CALL, targetMillis, 0, null, 0));
    }

    private void offerSample(long number, int slot, long fence) {
        offer(number, job(WorkKind.SAMPLE, 1_000, 0, key(slot), fence));
    }

    private void offer(long number, Job job) {
        mMachine.onMessage(LINK, new AttemptMessage.Offer(id(number), job), 0);
    }

    private AttemptMessage.Refused lastRefusal() {
        return (AttemptMessage.Refused) mSent.get(mSent.size() - 1);
    }

    private AttemptMessage.SampleContent lastContent() {
        return (AttemptMessage.SampleContent) mSent.get(mSent.size() - 1);
    }

    private static Job job(
            WorkKind kind,
            long targetMillis,
            long minVersion,
            @Nullable SampleKey key,
            long fence) {
        return new Job(
                kind,
                name(),
                0.99,
                targetMillis,
                9_000,
                true,
                "/",
                "t",
                BODY,
                minVersion,
                key,
                fence);
    }

    private static ClassName name() {
        return ClassName.of("lookup");
    }

    private static SampleKey key(int slot) {
        return new SampleKey(TRAINER, 1, slot);
    }

    private static AttemptId id(long counter) {
        return new AttemptId(42, counter);
    }
}
