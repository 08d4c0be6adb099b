package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.platform.standin.StandinDuties;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two entries that share the duty to report usage. */
class HostedDutiesTest extends HostedFixture {
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long LEASE_MILLIS = 1_000;

    private InetSocketAddress mAddress;
    private TCPNIOTransport mTransport;
    private StandinDuties mDuties;

    @Override
    String moreSettings() throws IOException {
        if (mDuties == null) {
            mAddress = freeAddress();
            mTransport = TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
            mTransport.start();
            mDuties = StandinDuties.start(mTransport, mAddress);
        }
        return "\nduties: {address: \""
                + formatAddress(mAddress)
                + "\", names: \"usage,scale\", lease: "
                + LEASE_MILLIS
                + "ms, fenced: false, usage_window: 200ms, usage_late: 3s}";
    }

    @AfterEach
    void stopDuties() throws IOException {
        mTransport.shutdownNow();
    }

    private static long window(StandinDuties.Call call) {
        return JsonTrees.read(call.body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .path("window_id")
                .asLong();
    }

    private StandinDuties.Call awaitCall(int number) throws InterruptedException {
        assertThat(
                mDuties.await(call -> mDuties.calls().size() >= number, MAX_WAIT_MILLIS), is(true));
        return mDuties.calls().get(number - 1);
    }

    private void checkOneContentEach() {
        Map<Long, Set<String>> bodies = new HashMap<>();
        mDuties.calls()
                .forEach(
                        call ->
                                bodies.computeIfAbsent(window(call), window -> new HashSet<>())
                                        .add(call.body()));
        bodies.forEach((window, different) -> assertThat(different.size(), is(1)));
    }

    @Test
    void oneEntryReportsEachWindowOnce() throws InterruptedException {
        StandinDuties.Call first = awaitCall(1);
        awaitCall(6);
        List<StandinDuties.Call> calls = mDuties.calls();

        for (int i = 0; i < calls.size(); i++) {
            assertThat(calls.get(i).path(), is("/usage"));
            assertThat(calls.get(i).holder(), is(first.holder()));
            assertThat(calls.get(i).fence(), is(first.fence()));
            assertThat(window(calls.get(i)), is(window(first) + i));
        }
    }

    @Test
    void theNextHolderGoesOnWithAHigherFenceAfterTheQuietTime() throws InterruptedException {
        StandinDuties.Call first = awaitCall(2);
        HostedEntry holder = first.holder().equals("edge-1") ? mFirstEntry : mSecondEntry;
        holder.drain();
        assertThat(
                mDuties.await(call -> !call.holder().equals(first.holder()), MAX_WAIT_MILLIS),
                is(true));
        List<StandinDuties.Call> calls = mDuties.calls();
        StandinDuties.Call before =
                calls.stream()
                        .filter(call -> call.holder().equals(first.holder()))
                        .reduce((a, b) -> b)
                        .orElseThrow();
        StandinDuties.Call after =
                calls.stream()
                        .filter(call -> !call.holder().equals(first.holder()))
                        .findFirst()
                        .orElseThrow();

        assertThat(after.fence(), greaterThan(before.fence()));
        assertThat(
                Nanos.toMillis(after.atNanos() - before.atNanos()),
                greaterThanOrEqualTo(LEASE_MILLIS));
        assertThat(window(after) - window(before) <= 1, is(true));
        checkOneContentEach();
    }

    @Test
    void aRefusedFenceIsGivenUpAndTheReportRepeatedUnderAHigherOne() throws InterruptedException {
        mDuties.setStatus(number -> number == 1 ? 409 : 200);
        StandinDuties.Call refused = awaitCall(1);
        StandinDuties.Call repeated = awaitCall(2);

        assertThat(repeated.fence(), is(not(refused.fence())));
        assertThat(repeated.body(), is(refused.body()));
        assertThat(
                mDuties.calls().stream().filter(call -> call.fence() == refused.fence()).count(),
                is(1L));
    }

    @Test
    void aReportWithoutAnAnswerIsRepeatedAsItWas() throws InterruptedException {
        mDuties.setStatus(number -> number <= 2 ? 500 : 200);
        StandinDuties.Call first = awaitCall(1);
        awaitCall(4);

        assertThat(mDuties.calls().get(1).body(), is(first.body()));
        assertThat(mDuties.calls().get(2).body(), is(first.body()));
        assertThat(window(mDuties.calls().get(3)), is(window(first) + 1));
        checkOneContentEach();
    }
}
