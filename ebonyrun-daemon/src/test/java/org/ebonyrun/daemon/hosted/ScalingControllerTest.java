package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.route.CallOptions;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.route.RouteKind;
import org.ebonyrun.core.route.StepOptions;
import org.ebonyrun.core.route.WeightedService;
import org.ebonyrun.core.scaling.ScalingBounds;
import org.ebonyrun.core.scaling.ServiceLoad;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.duty.DutyReply;
import org.ebonyrun.ports.duty.EndpointTarget;
import org.ebonyrun.ports.duty.UsageReport;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.StorePage;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;

class ScalingControllerTest {
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final ScalingBounds BOUNDS = new ScalingBounds(1, 20, 5 * Nanos.PER_SECOND);
    private static final int SLOTS = 4;
    private static final DutyTerm TERM = new DutyTerm(7, false, 0);

    private record Call(long fence, EndpointTarget target, CompletableFuture<DutyReply> reply) {}

    /** Records orders; the test completes them. */
    private static final class FakeApi implements DutyApi {
        final List<Call> mCalls = new ArrayList<>();

        @Override
        public CompletableFuture<DutyReply> reportUsage(long fence, UsageReport report) {
            throw new UnsupportedOperationException("reportUsage");
        }

        @Override
        public CompletableFuture<DutyReply> orderEndpoints(long fence, EndpointTarget target) {
            mCalls.add(new Call(fence, target, new CompletableFuture<>()));
            return mCalls.get(mCalls.size() - 1).reply();
        }

        Call last() {
            return mCalls.get(mCalls.size() - 1);
        }
    }

    /** Holds the loads of entries. */
    private static final class FakeStore extends StubStore {
        List<StoreItem> mItems = List.of();
        boolean mAvailable = true;
        final List<String> mRemoved = new ArrayList<>();

        @Override
        public CompletableFuture<Result<StorePage>> range(String prefix, String after) {
            assertThat(prefix, is(StoreKeys.LOADS_PREFIX));
            return CompletableFuture.completedFuture(
                    mAvailable
                            ? Result.ok(new StorePage(mItems, false, 1))
                            : Result.err(
                                    Fault.unknown(
                                            FaultCode.PLATFORM_UNAVAILABLE, "range", "", "away")));
        }

        @Override
        public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
            mRemoved.addAll(transaction.removals());
            return CompletableFuture.completedFuture(
                    Result.ok(new CommitResult(CommitOutcome.COMMITTED, 1, List.of())));
        }
    }

    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private final StubContext mContext =
            new StubContext(mLog) {
                @Override
                public Optional<Route> routeOf(StepManifest manifest) {
                    return Optional.of(
                            new Route(
                                    "r",
                                    manifest.host(),
                                    manifest.prefix(),
                                    RouteKind.STEPS,
                                    List.of(new WeightedService(SERVICE, 1)),
                                    new CallOptions(1_000, 1_000, 1, 0),
                                    new StepOptions(8_000, 60_000, false)));
                }
            };
    private final FakeApi mApi = new FakeApi();
    private final FakeStore mStore = new FakeStore();
    private final Fleet mFleet = Fleet.create();
    private long mNow = 100 * Nanos.PER_SECOND;
    private long mRevision;
    private final ScalingController mController =
            new ScalingController(mContext, mStore, mFleet, mApi, () -> mNow);

    private void endpoints(String domain, int count) {
        for (int i = 0; i < count; i++) {
            mFleet.onRecord(
                    new EndpointRecord(
                            domain + i,
                            0,
                            SERVICE,
                            InetSocketAddress.createUnresolved("10.0.0.1", 80),
                            FailureDomain.of(domain),
                            SLOTS,
                            false,
                            Map.of(),
                            ""));
        }
    }

    private void load(String entry, double calls, double samples, double sampleSeconds) {
        byte[] value =
                LoadCodec.encode(Map.of(SERVICE, new ServiceLoad(calls, samples, sampleSeconds)));
        mStore.mItems = List.of(new StoreItem(StoreKeys.loadKey(entry), value, ++mRevision, 0));
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            mNow += Nanos.PER_SECOND;
            mController.onTick(mNow);
        }
    }

    private void start() {
        endpoints("a", 4);
        mController.onConfigured(Map.of(SERVICE, BOUNDS));
        mController.onAcquired(TERM, mNow);
    }

    @Test
    void withoutScaledServicesNothingIsReadOrOrdered() {
        mStore.mAvailable = false;
        endpoints("a", 4);
        mController.onAcquired(TERM, mNow);
        run(60);

        assertThat(mApi.mCalls, is(empty()));
        assertThat(mController.gauges(), is(anEmptyMap()));
    }

    @Test
    void theLoadOfAllEntriesIsOrderedForUnderTheFenceOfTheTerm() {
        load("vm1", 24, 0, 0);
        start();
        run(3);

        assertThat(mApi.mCalls, hasSize(1));
        assertThat(mApi.last().fence(), is(7L));
        assertThat(mApi.last().target(), is(new EndpointTarget(SERVICE, DOMAIN, 8)));
        assertThat(mController.gauges().get("ebonyrun_entry_scaling_present"), is(4.0));
        assertThat(mController.gauges().get("ebonyrun_entry_scaling_ordered"), is(8.0));
    }

    @Test
    void anOrderIsLoggedOnceWithItsFiguresAndItsReply() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        mApi.last().reply().complete(DutyReply.DONE);
        mContext.log().close();

        String log = mLog.toString(StandardCharsets.UTF_8);
        assertThat(log.lines().count(), is(1L));
        assertThat(
                log,
                allOf(
                        containsString("\"event\":\"scaling.order\",\"service\":\"s\""),
                        containsString("\"from\":4,\"to\":8,\"why\":\"DEMAND\",\"serving\":4"),
                        containsString("\"demand\":\"24.0\",\"entries\":1,\"complete\":true"),
                        containsString("\"fence\":7,\"reply\":\"DONE\"")));
    }

    @Test
    void noSecondOrderOfASubjectIsSentBeforeTheReply() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        load("vm1", 40, 0, 0);
        run(5);
        assertThat(mApi.mCalls, hasSize(1));

        mApi.last().reply().complete(DutyReply.DONE);
        run(1);
        assertThat(mApi.mCalls, hasSize(2));
        assertThat(mApi.last().target().count(), is(14));
    }

    @Test
    void noOrderIsSentBeforeTheEndOfTheQuietTime() {
        load("vm1", 24, 0, 0);
        endpoints("a", 4);
        mController.onConfigured(Map.of(SERVICE, BOUNDS));
        mController.onAcquired(new DutyTerm(7, false, mNow + 10 * Nanos.PER_SECOND), mNow);
        run(9);
        assertThat(mApi.mCalls, is(empty()));

        run(1);
        assertThat(mApi.mCalls, hasSize(1));
    }

    @Test
    void aHigherFenceEndsTheOrdersOfTheTerm() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        mApi.last().reply().complete(DutyReply.FENCED);
        run(60);
        assertThat(mApi.mCalls, hasSize(1));

        mController.onReleased();
        mController.onAcquired(new DutyTerm(9, false, 0), mNow);
        run(3);
        assertThat(mApi.last().fence(), is(9L));
    }

    @Test
    void aReplyToAnEarlierTermChangesNothing() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        Call early = mApi.last();
        mController.onReleased();
        mController.onAcquired(new DutyTerm(9, true, 0), mNow);
        run(3);
        assertThat(mApi.mCalls, hasSize(2));
        early.reply().complete(DutyReply.FENCED);
        load("vm1", 40, 0, 0);
        run(3);
        assertThat("the order of this term is open", mApi.mCalls, hasSize(2));

        mApi.last().reply().complete(DutyReply.DONE);
        run(1);
        assertThat(mApi.mCalls, hasSize(3));
    }

    @Test
    void anUnansweredOrderIsRepeatedAndARefusedOneWaits() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        mApi.last().reply().complete(DutyReply.UNKNOWN);
        run(2);
        assertThat(mApi.mCalls, hasSize(2));
        assertThat(mApi.last().target().count(), is(8));

        mApi.last().reply().complete(DutyReply.REFUSED);
        run(1);
        assertThat(mApi.mCalls, hasSize(2));
        run(9);
        assertThat(mApi.mCalls, hasSize(3));
    }

    @Test
    void ordersAreSentAtABoundedRateAndNoDomainIsLeftOut() {
        for (int i = 0; i < 6; i++) {
            endpoints("d" + i, 1);
        }
        load("vm1", 60, 0, 0);
        mController.onConfigured(Map.of(SERVICE, BOUNDS));
        mController.onAcquired(TERM, mNow);
        run(2);
        assertThat(mApi.mCalls.size() <= 2 * ScalingController.MAX_ORDERS_PER_SECOND, is(true));

        run(4);
        long domains = mApi.mCalls.stream().map(call -> call.target().domain()).distinct().count();
        assertThat(domains, is(6L));
    }

    @Test
    void stepsThatTrainersSubmitAreForeseen() {
        load("vm1", 0, 8, 2);
        start();
        for (int step = 1; step <= 4; step++) {
            mController.onStep(
                    new StepManifest("h", "/p", "m", step, 0, 96, null, step * 4_000L), mNow);
        }
        run(3);

        // 96 samples of 2 s, one step each 4 s: 48 places.
        assertThat(mApi.last().target().count(), is(16));
    }

    @Test
    void nothingIsGivenBackWithoutRecentFigures() {
        load("vm1", 0, 0, 0);
        start();
        mStore.mAvailable = false;
        run(300);
        assertThat(mApi.mCalls, is(empty()));

        mStore.mAvailable = true;
        mStore.mItems = List.of();
        run(25);
        assertThat(mApi.mCalls, is(empty()));
        run(5);
        assertThat(mApi.last().target(), is(new EndpointTarget(SERVICE, DOMAIN, 1)));
    }

    @Test
    void aRecordOfADeadEntryBlocksGivingBackUntilItIsRemoved() {
        load("vm1", 1, 0, 0);
        start();
        run(60);
        assertThat(mApi.mCalls, is(empty()));
        assertThat(mStore.mRemoved, is(empty()));

        run(6);
        assertThat(mStore.mRemoved.get(0), is(StoreKeys.loadKey("vm1")));
        mStore.mItems = List.of();
        run(30);
        assertThat(mApi.last().target().count(), is(1));
    }

    @Test
    void anUnreadableRecordBlocksGivingBackOnly() {
        start();
        mStore.mItems =
                List.of(new StoreItem(StoreKeys.loadKey("vm1"), new byte[] {'{'}, ++mRevision, 0));
        run(50);

        assertThat(mApi.mCalls, is(empty()));
    }

    @Test
    void aServiceThatIsNoLongerScaledIsLeftAsItIs() {
        load("vm1", 24, 0, 0);
        start();
        run(3);
        mController.onConfigured(Map.of());
        mApi.last().reply().complete(DutyReply.UNKNOWN);
        run(60);

        assertThat(mApi.mCalls, hasSize(1));
    }
}
