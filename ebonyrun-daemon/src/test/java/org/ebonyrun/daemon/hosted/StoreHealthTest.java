package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreHealthTest {
    private static final long TICK = Nanos.ofMillis(20);
    private static final long TIMEOUT = Nanos.ofMillis(1_000);

    private final List<String> mEvents = new ArrayList<>();
    private int mProbes;
    private final StoreHealth mHealth =
            new StoreHealth(
                    new StoreHealth.Listener() {
                        @Override
                        public void sendProbe(int round) {
                            mProbes++;
                        }

                        @Override
                        public void onUnavailable(String why) {
                            mEvents.add("away " + why);
                        }

                        @Override
                        public void onAvailable() {
                            mEvents.add("back");
                        }
                    });

    @Test
    void watchFaultBeginsOutageUntilProbeSucceeds() {
        mHealth.onWatchFault("timeout", 0);
        assertThat(mHealth.isUnavailable(), is(true));
        assertThat(mHealth.outageNanos(TICK), is(TICK));
        mHealth.onProbeEnd(0, "", TICK);

        assertThat(mHealth.isUnavailable(), is(false));
        assertThat(mEvents, contains("away timeout", "back"));
    }

    @Test
    void callFaultSendsOneProbeAndBeginsNoOutage() {
        mHealth.onCallFault(0);
        mHealth.onCallFault(TICK);
        assertThat(mProbes, is(1));
        mHealth.onProbeEnd(0, "", 2 * TICK);
        for (int i = 0; i < 100; i++) {
            mHealth.onTick(i * TICK);
        }

        assertThat(mProbes, is(1));
        assertThat(mEvents, is(empty()));
    }

    @Test
    void probeFaultBeginsOutage() {
        mHealth.onCallFault(0);
        mHealth.onProbeEnd(0, "timeout", TIMEOUT);

        assertThat(mEvents, contains("away timeout"));
        assertThat(mProbes, is(2));
    }

    @Test
    void probeSentBeforeEndOfOutageBeginsNoNewOutage() {
        mHealth.onWatchFault("timeout", 0);
        mHealth.onTick(StoreHealth.PROBE_INTERVAL_NANOS);
        mHealth.onProbeEnd(0, "", TIMEOUT / 2);
        mHealth.onProbeEnd(0, "timeout", TIMEOUT);
        assertThat(mHealth.isUnavailable(), is(false));
        mHealth.onCallFault(TIMEOUT);
        mHealth.onProbeEnd(1, "timeout", 2 * TIMEOUT);

        assertThat(mHealth.isUnavailable(), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 20, 33, 51, 100, 325})
    void endOfOutageIsDetectedWithinOneProbeInterval(int outageTicks) {
        long outageEnd = outageTicks * TICK;
        List<Long> sentAt = new ArrayList<>();
        mHealth.onWatchFault("timeout", 0);
        sentAt.add(0L);
        long now = 0;
        while (mHealth.isUnavailable()) {
            now += TICK;
            while (!sentAt.isEmpty() && now - sentAt.get(0) >= TIMEOUT) {
                sentAt.remove(0);
                mHealth.onProbeEnd(0, "timeout", now);
            }
            int before = mProbes;
            mHealth.onTick(now);
            if (mProbes > before) {
                sentAt.add(now);
            }
            assertThat(sentAt.size(), lessThanOrEqualTo(StoreHealth.MAX_OPEN_PROBES));
            if (mProbes > before && now >= outageEnd) {
                mHealth.onProbeEnd(0, "", now);
            }
        }

        assertThat(now - outageEnd, lessThanOrEqualTo(StoreHealth.PROBE_INTERVAL_NANOS + TICK));
    }
}
