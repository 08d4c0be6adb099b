package org.ebonyrun.core.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PolicyTest {
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void aMechanismIsEnabledUnlessItWasDisabled(Mechanism mechanism) {
        assertThat(Policy.ALL.isEnabled(mechanism), is(true));
        Policy policy = Policy.ALL;
        for (Mechanism other : Mechanism.values()) {
            if (other != mechanism) {
                policy = policy.without(other);
            }
        }
        assertThat(policy.isEnabled(mechanism), is(true));
        assertThat(policy.without(mechanism).isEnabled(mechanism), is(false));
    }
}
