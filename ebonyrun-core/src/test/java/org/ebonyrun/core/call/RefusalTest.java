package org.ebonyrun.core.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.EndpointFixtures;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.hedge.ConfiguredHedging;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.stream.StreamAdmission;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks, over random interleavings in virtual time, that a refusal says the truth: a call that may
 * not be repeated and is refused has no attempt that has run, may be running or may still run.
 *
 * <p>Endpoints run attempts late, answer late or never, lose answers and rejections, break streams,
 * leave and return; callers leave; keys are withdrawn; calls are blocked and released; hedging is
 * switched on and off.
 */
class RefusalTest {
    private static final int CALLS = 3_000;
    private static final long TICK_NANOS = Nanos.ofMillis(20);
    private static final RouteKind[] KINDS = {
        RouteKind.ONCE, RouteKind.STREAM, RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM
    };

    /** What becomes of an attempt at its endpoint, whatever the entry learns of it. */
    private static final class Attempt {
        final CallSpec mCall;
        // Whether the endpoint has stated, to the entry, that it did not run the attempt.
        boolean mCertainlyNotRun;
        boolean mRan;
        boolean mEnded;

        Attempt(CallSpec call) {
            mCall = call;
        }
    }

    private static final class Simulation implements CallOutputs, CallGuard {
        final VirtualClock mClock = new VirtualClock();
        final Random mRandom;
        final Fleet mFleet = Fleet.create();
        final CallMachine mMachine;
        final Map<Long, Attempt> mAttempts = new LinkedHashMap<>();
        final Map<Long, List<Attempt>> mAttemptsByCall = new HashMap<>();
        final Set<Long> mRefused = new HashSet<>();
        final Map<Long, Integer> mOutcomes = new HashMap<>();
        final Map<RouteKind, Integer> mRefusedByKind = new EnumMap<>(RouteKind.class);
        final Set<Long> mAbandoned = new HashSet<>();
        final List<String> mViolations = new ArrayList<>();
        int mRefusedAfterAttempts;
        int mHedges;
        boolean mBlocked;
        OptionalDouble mLimit = OptionalDouble.empty();
        long mCalls;

        Simulation(long seed) {
            mRandom = new Random(seed);
            for (int i = 0; i < 4; i++) {
                addEndpoint(i, 0);
            }
            mMachine =
                    CallMachine.create(
                            mFleet,
                            FailureDomain.of("d0"),
                            Policy.ALL,
                            new ConfiguredHedging(() -> mLimit),
                            this,
                            this);
            mClock.scheduleEvery(TICK_NANOS, mMachine::onTick);
            mClock.scheduleEvery(Nanos.ofMillis(150), this::disturb);
            mClock.schedule(0, this::arrive);
        }

        private void addEndpoint(int number, long incarnation) {
            mFleet.onRecord(EndpointFixtures.record("e" + number, incarnation, 3, 1, false));
        }

        void run() {
            while (mCalls < CALLS) {
                mClock.runUntil(mClock.now() + Nanos.ofMillis(1_000));
            }
            mClock.runUntil(mClock.now() + Nanos.ofMillis(10_000));
        }

        private long millis(int bound) {
            return Nanos.ofMillis(1 + mRandom.nextInt(bound));
        }

        private void arrive(long now) {
            if (mCalls >= CALLS) {
                return;
            }
            long id = ++mCalls;
            RouteKind kind = KINDS[mRandom.nextInt(KINDS.length)];
            CallSpec call =
                    new CallSpec(
                            id,
                            "r" + id,
                            EndpointFixtures.route(
                                    kind,
                                    new CallOptions(2_000, 100, 1 + mRandom.nextInt(3), 1),
                                    StepOptions.NONE),
                            EndpointFixtures.SERVICE,
                            now,
                            now + millis(800),
                            mRandom.nextInt(4) == 0,
                            null,
                            null);
            mMachine.onCall(call, now);
            if (mRandom.nextInt(10) == 0) {
                mClock.schedule(
                        now + millis(300),
                        later -> {
                            if (!mOutcomes.containsKey(id)) {
                                mAbandoned.add(id);
                            }
                            mMachine.onAbandoned(id, later);
                        });
            }
            if (mRandom.nextInt(10) == 0) {
                mClock.schedule(
                        now + millis(300), later -> mMachine.onKeysWithdrawn(List.of(id), later));
            }
            mClock.schedule(now + millis(30), this::arrive);
        }

        private void disturb(long now) {
            int number = mRandom.nextInt(4);
            switch (mRandom.nextInt(6)) {
                case 0 -> mFleet.onRemoved("e" + number, now);
                case 1, 2 -> addEndpoint(number, Nanos.toMillis(now));
                case 3 -> mBlocked = mRandom.nextInt(4) == 0;
                case 4 -> mLimit = OptionalDouble.of(mRandom.nextInt(3) * 0.25);
                default -> mLimit = OptionalDouble.empty();
            }
        }

        @Override
        public void send(CallSpec call, long attempt, Endpoint endpoint, long leftMillis) {
            List<Attempt> earlier =
                    mAttemptsByCall.computeIfAbsent(call.id(), id -> new ArrayList<>());
            if (!call.route().mayRepeat()
                    && earlier.stream().anyMatch(other -> !other.mCertainlyNotRun)) {
                mViolations.add("sent again although it may have run: " + call);
            }
            if (mOutcomes.containsKey(call.id()) || mAbandoned.contains(call.id())) {
                mViolations.add("sent after its end: " + call);
            }
            if (earlier.stream().anyMatch(other -> !other.mEnded)) {
                mHedges++;
            }
            Attempt sent = new Attempt(call);
            earlier.add(sent);
            mAttempts.put(attempt, sent);
            play(attempt, sent);
        }

        /** Lets an attempt run or not, and lets the entry learn of it or not. */
        private void play(long attempt, Attempt sent) {
            long now = mClock.now();
            long reachedAt = now + millis(80);
            long endAt = reachedAt + millis(mRandom.nextInt(5) == 0 ? 1_500 : 60);
            switch (mRandom.nextInt(11)) {
                case 0 -> end(attempt, AttemptOutcome.NOT_RUN, reachedAt);
                case 1 -> end(attempt, AttemptOutcome.WRONG_INSTANCE, reachedAt);
                case 2 -> end(attempt, AttemptOutcome.UNREACHABLE, reachedAt);
                // The connection breaks, and the endpoint runs what it has read, now or later.
                case 3 -> {
                    end(attempt, AttemptOutcome.LOST, now + millis(80));
                    mClock.schedule(endAt, later -> sent.mRan = true);
                }
                // A rejection is lost.
                case 4 -> end(attempt, AttemptOutcome.LOST, reachedAt);
                // The endpoint runs the attempt and never answers.
                case 5 -> mClock.schedule(endAt, later -> sent.mRan = true);
                case 6 -> {
                    mClock.schedule(reachedAt, later -> sent.mRan = true);
                    end(attempt, AttemptOutcome.SERVER_ERROR, endAt);
                }
                case 7 -> {
                    mClock.schedule(reachedAt, later -> sent.mRan = true);
                    stream(attempt, sent, reachedAt);
                    end(attempt, AttemptOutcome.LOST, endAt);
                }
                // The endpoint states no rejection, and may have run the attempt or not.
                case 8 -> {
                    boolean ran = mRandom.nextBoolean();
                    mClock.schedule(reachedAt, later -> sent.mRan = ran);
                    end(attempt, AttemptOutcome.UNUSABLE, endAt);
                }
                default -> {
                    mClock.schedule(reachedAt, later -> sent.mRan = true);
                    stream(attempt, sent, reachedAt);
                    end(attempt, AttemptOutcome.ANSWERED, endAt);
                }
            }
        }

        private void stream(long attempt, Attempt sent, long at) {
            if (sent.mCall.route().isStream()) {
                mClock.schedule(at, now -> mMachine.onStreaming(attempt, now));
            }
        }

        private void end(long attempt, AttemptOutcome outcome, long at) {
            mClock.schedule(
                    at,
                    now -> {
                        Attempt sent = mAttempts.get(attempt);
                        // What an entry has cancelled can't tell it anything any more. Some ends
                        // were already on their way to the event loop, though.
                        if (sent.mEnded && mRandom.nextBoolean()) {
                            return;
                        }
                        if (!sent.mEnded) {
                            sent.mEnded = true;
                            sent.mCertainlyNotRun =
                                    outcome == AttemptOutcome.NOT_RUN
                                            || outcome == AttemptOutcome.WRONG_INSTANCE
                                            || outcome == AttemptOutcome.UNREACHABLE;
                        }
                        mMachine.onAttemptEnd(attempt, outcome, now);
                    });
        }

        @Override
        public void cancel(long attempt) {
            mAttempts.get(attempt).mEnded = true;
        }

        private void onOutcome(CallSpec call) {
            mOutcomes.merge(call.id(), 1, Integer::sum);
            if (mAbandoned.contains(call.id())) {
                mViolations.add("answered after its caller left: " + call);
            }
        }

        @Override
        public void refuseKey(CallSpec call) {
            onRefused(call);
        }

        @Override
        public void refuse(CallSpec call, long retryAfterMillis, String reason) {
            onRefused(call);
        }

        private void onRefused(CallSpec call) {
            onOutcome(call);
            mRefused.add(call.id());
            mRefusedByKind.merge(call.route().kind(), 1, Integer::sum);
            List<Attempt> attempts = mAttemptsByCall.getOrDefault(call.id(), List.of());
            mRefusedAfterAttempts += attempts.isEmpty() ? 0 : 1;
            if (!call.route().mayRepeat()
                    && attempts.stream().anyMatch(attempt -> !attempt.mCertainlyNotRun)) {
                mViolations.add("refused although it may have run: " + call);
            }
        }

        @Override
        public void deliver(CallSpec call, long attempt) {
            onOutcome(call);
        }

        @Override
        public void fail(CallSpec call, boolean timeout, String reason) {
            onOutcome(call);
        }

        @Override
        public boolean canGoOn(CallSpec call) {
            return mRandom.nextBoolean();
        }

        @Override
        public CallAdmission admission(CallSpec call) {
            return mBlocked && call.id() % 2 == 0 ? CallAdmission.BLOCKED : CallAdmission.ADMITTED;
        }

        @Override
        public boolean mayRetry(CallSpec call) {
            return call.id() % 5 != 0;
        }

        @Override
        public long retryAfterMillis(CallSpec call) {
            return 100;
        }

        @Override
        public StreamAdmission admit(CallSpec call, Endpoint endpoint, long now) {
            return switch (mRandom.nextInt(8)) {
                case 0 -> StreamAdmission.DENIED;
                case 1 -> StreamAdmission.PENDING;
                default -> StreamAdmission.ADMITTED;
            };
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aRefusedCallThatMayNotBeRepeatedHasNotRunAndNeverWill(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run();

        assertThat(simulation.mViolations, is(empty()));
        simulation.mAttempts.forEach(
                (id, attempt) -> {
                    boolean refused = simulation.mRefused.contains(attempt.mCall.id());
                    if (refused && !attempt.mCall.route().mayRepeat()) {
                        assertThat("attempt " + id + " ran", attempt.mRan, is(false));
                    }
                });
        for (long id = 1; id <= CALLS; id++) {
            int outcomes = simulation.mOutcomes.getOrDefault(id, 0);
            assertThat("call " + id, outcomes, is(simulation.mAbandoned.contains(id) ? 0 : 1));
        }
        assertThat(simulation.mMachine.callCount(), is(0));
        // The interleavings are of the kinds that matter.
        assertThat(simulation.mRefusedByKind.get(RouteKind.ONCE), greaterThan(20));
        assertThat(simulation.mRefusedByKind.get(RouteKind.STREAM), greaterThan(20));
        assertThat(simulation.mRefusedAfterAttempts, greaterThan(20));
        assertThat(simulation.mHedges, greaterThan(20));
    }
}
