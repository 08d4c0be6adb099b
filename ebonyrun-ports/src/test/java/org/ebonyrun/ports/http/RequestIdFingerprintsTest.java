package org.ebonyrun.ports.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RequestIdFingerprintsTest {
    private final RequestIdFingerprints mIds = new RequestIdFingerprints();

    @Test
    void hasNoFalseNegativesAndFewFalsePositives() {
        Random random = new Random(1);
        int falsePositives = 0;
        List<String> added = new ArrayList<>();
        while (!mIds.isFull()) {
            String id = Long.toHexString(random.nextLong());
            falsePositives += mIds.mayContain(id) ? 1 : 0;
            mIds.add(id);
            added.add(id);
        }

        for (String id : added) {
            assertThat(id, mIds.mayContain(id), is(true));
        }

        assertThat((double) falsePositives / added.size(), is(lessThan(0.125)));
    }
}
