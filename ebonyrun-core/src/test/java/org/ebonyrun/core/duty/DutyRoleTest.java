package org.ebonyrun.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ebonyrun.base.time.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class DutyRoleTest {
    private static final long SECOND = Nanos.PER_SECOND;

    private final List<String> mOutputs = new ArrayList<>();
    private long mNow = 100 * SECOND;
    private long mWallMillis = 1_000_000_000L;

    private final DutyRoleOutputs mRecorder =
            new DutyRoleOutputs() {
                @Override
                public void claim() {
                    mOutputs.add("claim");
                }

                @Override
                public void onAcquired(long fence, boolean sameHolder, long quietUntil) {
                    mOutputs.add(
                            "acquired " + fence + " " + sameHolder + " " + (quietUntil - mNow));
                }

                @Override
                public void onReleased(long fence, boolean removeKey, String why) {
                    mOutputs.add("released " + fence + " " + removeKey);
                }

                @Override
                public void removeKey(long fence) {
                    mOutputs.add("remove " + fence);
                }
            };

    private DutyRole role(boolean fenced, boolean hasPredecessor) {
        DutyRules rules = new DutyRules(fenced, 3 * SECOND);
        return DutyRole.create(rules, hasPredecessor, new Random(1), mRecorder);
    }

    private void advance(long nanos) {
        mNow += nanos;
        mWallMillis += Nanos.toMillis(nanos);
    }

    private void tick(DutyRole role, RoleKey key, long revision) {
        role.onTick(key, revision, mNow, mWallMillis);
    }

    private DutyRole holding(boolean fenced, boolean hasPredecessor, long fence) {
        DutyRole role = role(fenced, hasPredecessor);
        tick(role, RoleKey.ABSENT, 0);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        role.onClaimed(fence, mNow);
        return role;
    }

    private boolean mayCall(DutyRole role, long fence) {
        return role.mayCall(fence, mNow, mNow, mWallMillis);
    }

    @ParameterizedTest
    @CsvSource({"true, false, 0", "true, true, 0", "false, false, 0", "false, true, 3000000000"})
    void aNewHolderIsQuietWhereNothingElseKeepsItFromAnEarlierOne(
            boolean fenced, boolean hasPredecessor, long quiet) {
        DutyRole role = holding(fenced, hasPredecessor, 7);

        assertThat(mOutputs, is(List.of("claim", "acquired 7 false " + quiet)));
        assertThat(mayCall(role, 7), is(quiet == 0));
        advance(quiet);
        tick(role, RoleKey.OWN, 7);
        assertThat(mayCall(role, 7), is(true));
        assertThat(mayCall(role, 6), is(false));
    }

    @Test
    void aProcessThatLostTheRoleIsQuietForTheLeaseTimeEvenIfFencesAreChecked() {
        DutyRole role = holding(true, false, 7);
        role.onLeaseLost(mNow);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        role.onClaimed(9, mNow);

        assertThat(mOutputs.get(mOutputs.size() - 1), is("acquired 9 false " + SECOND));
        assertThat(mayCall(role, 9), is(false));
        advance(SECOND);
        assertThat(mayCall(role, 9), is(true));
    }

    @Test
    void aRefusedFenceIsNeverUsedAgain() {
        DutyRole role = holding(true, false, 7);
        role.onFenced(6, "an old call", mNow);
        assertThat(role.isHolding(), is(true));
        role.onFenced(7, "refused", mNow);
        advance(SECOND);
        tick(role, RoleKey.OWN, 7);
        role.onClaimed(7, mNow);

        assertThat(role.isHolding(), is(false));
        assertThat(mayCall(role, 7), is(false));
        assertThat(mOutputs.get(mOutputs.size() - 1), is("released 7 true"));
    }

    @Test
    void aKeyThatCouldNotBeRemovedIsRemovedLater() {
        DutyRole role = holding(true, false, 7);
        role.onFenced(7, "refused", mNow);
        advance(2 * SECOND);
        tick(role, RoleKey.OWN, 7);
        advance(SECOND);
        tick(role, RoleKey.OWN, 7);
        tick(role, RoleKey.OWN, 7);

        assertThat(
                mOutputs.subList(2, mOutputs.size()), is(List.of("released 7 true", "remove 7")));
    }

    @Test
    void aClaimWhoseResponseWasLostIsAdopted() {
        DutyRole role = role(false, true);
        tick(role, RoleKey.ABSENT, 0);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        role.onClaimFailed(mNow);
        tick(role, RoleKey.OWN, 8);

        assertThat(role.isHolding(), is(true));
        assertThat(role.fence(), is(8L));
    }

    @ParameterizedTest
    @EnumSource(
            value = RoleKey.class,
            names = {"ABSENT", "OTHER"})
    void aLateResponseToAClaimThatHasEndedIsIgnored(RoleKey after) {
        DutyRole role = role(true, false);
        tick(role, RoleKey.ABSENT, 0);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        role.onKeyChanged(RoleKey.OWN, 7, "edge-1/1", mNow);
        role.onKeyChanged(after, 8, "gone or edge-2/1", mNow);
        role.onClaimed(7, mNow);

        assertThat(role.isHolding(), is(false));
        assertThat(mOutputs, is(List.of("claim")));
        role.onClaimed(9, mNow);
        assertThat(role.isHolding(), is(true));
    }

    @Test
    void anEarlierProcessOfTheVmIsReplacedAtOnce() {
        DutyRole role = role(false, true);
        tick(role, RoleKey.EARLIER_PROCESS, 5);
        role.onClaimed(6, mNow);

        assertThat(mOutputs, is(List.of("claim", "acquired 6 true " + 3 * SECOND)));
    }

    @ParameterizedTest
    @CsvSource({"EARLIER_PROCESS, false", "ABSENT, true"})
    void theKeyThatAClaimReplacesTellsWhetherTheHolderIsTheSame(RoleKey key, boolean sameHolder) {
        DutyRole role = role(true, true);
        tick(role, key, 5);
        advance(SECOND);
        tick(role, key, 5);
        role.onClaimSent(sameHolder);
        role.onClaimed(6, mNow);

        assertThat(mOutputs, is(List.of("claim", "acquired 6 " + sameHolder + " 0")));
    }

    @Test
    void anotherHolderEndsTheRole() {
        DutyRole role = holding(true, false, 7);
        role.onKeyChanged(RoleKey.ABSENT, 6, "gone", mNow);
        assertThat(role.isHolding(), is(true));
        role.onKeyChanged(RoleKey.OTHER, 8, "edge-2/1", mNow);

        assertThat(role.isHolding(), is(false));
        assertThat(mOutputs.get(mOutputs.size() - 1), is("released 7 false"));
    }

    @Test
    void noCallIsMadeAfterASuspensionUntilTheLeaseIsConfirmed() {
        DutyRole role = holding(true, false, 7);
        tick(role, RoleKey.OWN, 7);
        long confirmedAt = mNow;
        mWallMillis += 4_000;
        assertThat(role.mayCall(7, confirmedAt, mNow, mWallMillis), is(false));
        advance(SECOND / 50);
        tick(role, RoleKey.OWN, 7);

        assertThat(role.needsConfirmation(confirmedAt), is(true));
        assertThat(role.mayCall(7, confirmedAt, mNow, mWallMillis), is(false));
        assertThat(role.mayCall(7, mNow, mNow, mWallMillis), is(true));
    }

    @Test
    void aDrainingHolderHandsOverAndClaimsNoMore() {
        DutyRole role = holding(true, false, 7);
        role.onDrain(mNow);
        advance(10 * SECOND);
        tick(role, RoleKey.ABSENT, 0);
        advance(10 * SECOND);
        tick(role, RoleKey.ABSENT, 0);

        assertThat(mOutputs.subList(2, mOutputs.size()), is(List.of("released 7 true")));
    }

    @Test
    void aClaimThatEndsDuringADrainIsHandedOver() {
        DutyRole role = role(true, false);
        tick(role, RoleKey.ABSENT, 0);
        advance(SECOND);
        tick(role, RoleKey.ABSENT, 0);
        role.onDrain(mNow);
        role.onClaimed(7, mNow);

        assertThat(mOutputs, is(List.of("claim", "acquired 7 false 0", "released 7 true")));
    }
}
