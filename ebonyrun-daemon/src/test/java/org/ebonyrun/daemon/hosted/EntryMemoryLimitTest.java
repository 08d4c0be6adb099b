package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryMemoryLimitTest {
    @ParameterizedTest
    @CsvSource({"25165824, 9", "167772160, 64", "1073741824, 64"})
    void requestsThatWaitHoldATwentiethOfTheHeapAtMost(long heapBytes, int expected) {
        assertThat(EntryMemory.maxWaiting(heapBytes), is(expected));
    }
}
