package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.ebonyrun.base.json.JsonTrees;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.platform.standin.StandinDuties;
import org.ebonyrun.ports.http.HttpRequest;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls of workspaces through two entries, and the usage that is reported of them. */
class HostedUsageTest extends HostedFixture {
    private static final String KEY = "yx5x42q492cqf75rjvz4";
    private static final String OTHER_KEY = "zz9plural7alpha00000";
    private static final String WORKSPACES =
            "["
                    + StandinDeployment.workspace("one", KEY)
                    + ","
                    + StandinDeployment.workspace("other", OTHER_KEY)
                    + "]";
    private static final long MAX_WAIT_MILLIS = 30_000;

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
                + "\", names: usage, fenced: true, usage_window: 500ms, usage_late: 3s}";
    }

    @AfterEach
    void stopDuties() throws IOException {
        mTransport.shutdownNow();
    }

    private int call(String front, String key) {
        URI uri = URI.create("http://" + front + mDeployment.callPath());
        Map<String, String> headers =
                key.isEmpty()
                        ? StandinDeployment.headers("u", TIMEOUT_MILLIS)
                        : StandinDeployment.headers("u", TIMEOUT_MILLIS, key);
        HttpRequest request =
                HttpRequest.to("POST", uri, headers, new byte[0], SOCKET_TIMEOUT_MILLIS);
        return mHttpClient.request(request, "test").join().fold(r -> r.status(), fault -> 0);
    }

    private void awaitWorkspaces(String front) {
        int status = 0;
        for (int i = 0; i < 10 * MAX_TRIES && status != 401; i++) {
            status = call(front, "");
        }
        assertThat(status, is(401));
    }

    /**
     * Returns the calls of each workspace in all reports; a window that is repeated counts once.
     */
    private Map<String, Long> reported() {
        Map<Long, String> bodies = new TreeMap<>();
        mDuties.calls()
                .forEach(
                        call ->
                                bodies.put(
                                        JsonTrees.read(bytes(call.body()))
                                                .path("window_id")
                                                .asLong(),
                                        call.body()));
        Map<String, Long> sums = new TreeMap<>();
        bodies.values()
                .forEach(
                        body ->
                                JsonTrees.read(bytes(body))
                                        .path("counts")
                                        .properties()
                                        .forEach(
                                                count ->
                                                        sums.merge(
                                                                count.getKey(),
                                                                count.getValue().asLong(),
                                                                Long::sum)));
        return sums;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void awaitReported(Map<String, Long> expected) throws InterruptedException {
        mDuties.await(call -> reported().equals(expected), MAX_WAIT_MILLIS);
        assertThat(reported(), is(expected));
    }

    @Test
    void callsOfAllEntriesAreReportedByWorkspace() throws InterruptedException {
        mDeployment.configure(2, WORKSPACES);
        awaitWorkspaces(mFirstFront);
        awaitWorkspaces(mSecondFront);
        for (int i = 0; i < 10; i++) {
            assertThat(call(mFirstFront, KEY), is(200));
            assertThat(call(mSecondFront, KEY), is(200));
            assertThat(call(mSecondFront, OTHER_KEY), is(200));
            assertThat(call(mFirstFront, "unknown"), is(401));
        }

        awaitReported(Map.of("one", 20L, "other", 10L));
    }

    @Test
    void anEntryThatStopsLeavesItsCountsToTheOthers() throws InterruptedException {
        mDeployment.configure(2, WORKSPACES);
        awaitWorkspaces(mFirstFront);
        for (int i = 0; i < 5; i++) {
            assertThat(call(mFirstFront, KEY), is(200));
        }
        mFirstEntry.drain();

        awaitReported(Map.of("one", 5L));
    }
}
