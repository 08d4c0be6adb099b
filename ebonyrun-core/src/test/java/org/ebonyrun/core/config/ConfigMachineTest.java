package org.ebonyrun.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigMachineTest {
    private static final String TEXT =
            "services: {app: {kind: plain}}\nclasses: {sync: {service: app, kind: background,"
                    + " lateness: {quantile: 0.9, within: 1s}}}\n";

    private final List<ConfigMessage> mSent = new ArrayList<>();
    private final List<Long> mAdopted = new ArrayList<>();
    private final ConfigMachine mMachine =
            ConfigMachine.create(
                    new ConfigOutputs() {
                        @Override
                        public void send(long link, ConfigMessage message) {
                            mSent.add(message);
                        }

                        @Override
                        public void onConfigAdopted(OperatorConfig config, String text) {
                            mAdopted.add(config.version());
                        }
                    });

    @Test
    void neverAdoptsAnOlderVersion() {
        mMachine.onConfig(5, TEXT);
        mMachine.onConfig(4, TEXT);
        mMachine.onMessage(1, new ConfigMessage.ConfigUpdate(3, TEXT));
        assertThat(mMachine.config().version(), is(5L));
        assertThat(mAdopted, contains(5L));
    }

    @Test
    void requestsTextFromNewerPeersAndSendsItToOlderPeersOnRequest() {
        mMachine.onConfig(5, TEXT);
        mMachine.onPeerVersion(1, 6);
        mMachine.onPeerVersion(2, 4);
        mMachine.onPeerVersion(3, 5);
        assertThat(mSent, contains(new ConfigMessage.ConfigRequest(5)));
        mMachine.onMessage(2, new ConfigMessage.ConfigRequest(4));
        mMachine.onMessage(3, new ConfigMessage.ConfigRequest(5));
        assertThat(
                mSent,
                contains(
                        new ConfigMessage.ConfigRequest(5),
                        new ConfigMessage.ConfigUpdate(5, TEXT)));
    }

    @Test
    void rejectsInvalidText() {
        mMachine.onConfig(1, "services: 3");
        assertThat(mMachine.config().version(), is(0L));
        assertThat(mMachine.rejectedCount(), is(1L));
    }
}
