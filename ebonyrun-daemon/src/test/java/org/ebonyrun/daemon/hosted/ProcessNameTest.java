package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProcessNameTest {
    private static final ProcessName SELF = new ProcessName(VmId.of("edge-1"), 0xabc);

    @Test
    void expectsAFreeKeyToBeAbsent() {
        assertThat(SELF.expectedRevision(null, 0), is(OptionalLong.of(Transaction.ABSENT)));
    }

    @Test
    void expectsTheRevisionOfAnEarlierProcessOfTheSameVm() {
        assertThat(SELF.expectedRevision("edge-1/def", 42), is(OptionalLong.of(42)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"edge-1/abc", "edge-11/def", "edge-2/abc", "", "edge-1"})
    void doesNotClaimAKeyOfThisProcessOrOfAnotherVm(String holder) {
        assertThat(SELF.expectedRevision(holder, 42), is(OptionalLong.empty()));
    }
}
