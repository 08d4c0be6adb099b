package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.ebonyrun.platform.standin.StandinDuties;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two entries that share the duty to order endpoints. */
class HostedScalingTest extends HostedFixture {
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
                + "\", names: \"scale\", lease: 1s, fenced: false}";
    }

    @AfterEach
    void stopDuties() throws IOException {
        mTransport.shutdownNow();
    }

    private static String body(int count) {
        return "{\"service\":\"s\",\"zone\":\"a\",\"group_count\":" + count + "}";
    }

    private boolean awaitOrder(int count) throws InterruptedException {
        return mDuties.await(call -> call.body().equals(body(count)), MAX_WAIT_MILLIS);
    }

    @Test
    void theHolderOrdersWhatTheConfigurationBounds() throws InterruptedException {
        mDeployment.configureScaling(2, 3, 9);
        assertThat(awaitOrder(3), is(true));

        List<StandinDuties.Call> calls = mDuties.calls();
        calls.forEach(call -> assertThat(call.path(), is("/scale")));
        assertThat(calls.get(0).body(), is(body(3)));
    }

    @Test
    void aChangeOfTheBoundsIsOrderedAndAnOrderWithoutReplyIsRepeatedWhole()
            throws InterruptedException {
        mDuties.setStatus(number -> number <= 2 ? 500 : 200);
        mDeployment.configureScaling(2, 3, 9);
        assertThat(mDuties.await(call -> mDuties.calls().size() >= 3, MAX_WAIT_MILLIS), is(true));
        mDuties.calls().subList(0, 3).forEach(call -> assertThat(call.body(), is(body(3))));

        mDeployment.configureScaling(3, 5, 9);
        assertThat(awaitOrder(5), is(true));
    }
}
