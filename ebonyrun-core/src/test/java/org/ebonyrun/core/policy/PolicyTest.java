package org.ebonyrun.core.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PolicyTest {
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void aMechanismIsUsedUnlessItIsLeftOut(Mechanism mechanism) {
        assertThat(Policy.ALL.uses(mechanism), is(true));
        Policy policy = Policy.ALL;
        for (Mechanism other : Mechanism.values()) {
            if (other != mechanism) {
                policy = policy.without(other);
            }
        }
        assertThat(policy.uses(mechanism), is(true));
        assertThat(policy.without(mechanism).uses(mechanism), is(false));
    }
}
