package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.ports.store.StoreItem;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against use of an endpoint that has left, after a watch was cut (review case 14). */
class StoreOutageHandlerTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");

    /** A store whose next response to a read comes when the test completes it. */
    private static final class PendingStore extends StubStore {
        private CompletableFuture<Result<Optional<StoreItem>>> mRead = new CompletableFuture<>();

        @Override
        public CompletableFuture<Result<Optional<StoreItem>>> get(String key) {
            mRead = new CompletableFuture<>();
            return mRead;
        }
    }

    private final class Context extends StubContext {
        @Override
        public StoreHealth storeHealth() {
            return mHealth;
        }

        @Override
        public HostedSettings settings() {
            return HostedSettings.parse("test", HostedSettingsTest.COMPLETE_SETTINGS).settings();
        }
    }

    private long mNow = Nanos.ofMillis(5_000);
    private final PendingStore mPending = new PendingStore();
    private final InstrumentedStore mStore =
            new InstrumentedStore(mPending, fault -> {}, () -> mNow);
    private final Fleet mFleet = Fleet.create();
    private final StoreHealth mHealth =
            new StoreHealth(
                    new StoreOutageHandler(new Context(), mStore, mFleet, List.of(), () -> mNow));

    @ParameterizedTest
    @CsvSource({"900, 3, 0", "2300, 3, 0", "0, 3000, 1", "900, 1600, 1"})
    void anEndpointWhoseRecordIsGoneAfterAnOutageIsKeptOnlyIfItMayHaveExpired(
            long beforeFaultMillis, long outageMillis, int kept) {
        mFleet.onRecord(
                new EndpointRecord(
                        "e",
                        0,
                        SERVICE,
                        InetSocketAddress.createUnresolved("10.0.0.1", 80),
                        FailureDomain.of("a"),
                        8,
                        false,
                        Map.of(),
                        ""));
        mStore.get("before");
        mPending.mRead.complete(Result.ok(Optional.empty()));
        mNow += Nanos.ofMillis(beforeFaultMillis);
        mHealth.onWatchFault("closed", mNow);
        mNow += Nanos.ofMillis(outageMillis);
        mPending.mRead.complete(Result.ok(Optional.empty()));
        assertThat(mHealth.isUnavailable(), is(false));
        mFleet.onRemoved("e", mNow);

        assertThat(mFleet.serving(SERVICE).size(), is(kept));
    }
}
