package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.log.EventLog;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StepDirectoryTest {
    private static final StepId STEP = StepId.of("st");
    private static final ProcessName SELF = new ProcessName(VmId.of("edge-1"), 0xabc);
    private static final byte[] MANIFEST =
            StepCodec.manifest(new StepManifest("h", "/p/", "m", 1, 1, 2, null, 1_000));

    private final StepDirectory mDirectory =
            new StepDirectory(EventLog.start(OutputStream.nullOutputStream()));
    private long mRevision;

    private void put(String part, byte[] value) {
        String key = StoreKeys.liveKey(STEP, part);
        mRevision++;
        mDirectory.onChange(
                new StoreChange(key, mRevision, new StoreItem(key, value, mRevision, 0)));
    }

    private void remove(String part) {
        mDirectory.onChange(new StoreChange(StoreKeys.liveKey(STEP, part), ++mRevision, null));
    }

    @ParameterizedTest
    @CsvSource({
        "'', true",
        "edge-1/abc, true",
        "edge-1/def, true",
        "edge-2/def, false",
        "edge-11/abc, false"
    })
    void openStepIsReturnedToItsOwnerAndToProcessesThatMayClaimIt(String owner, boolean expected) {
        put(StoreKeys.MANIFEST, MANIFEST);
        if (!owner.isEmpty()) {
            put(StoreKeys.OWNER, owner.getBytes(StandardCharsets.UTF_8));
        }

        assertThat(mDirectory.ownedOrClaimableBy(SELF).contains(STEP), is(expected));
    }

    @ParameterizedTest
    @CsvSource({"end", "done"})
    void finishedStepIsNotClaimableAndIsReturnedOnceItIsOldEnough(String part) {
        put(StoreKeys.MANIFEST, MANIFEST);
        put(part, new byte[] {'1'});

        assertThat(mDirectory.ownedOrClaimableBy(SELF), is(empty()));
        assertThat(mDirectory.finishedSteps(1_000), is(empty()));
        assertThat(mDirectory.finishedSteps(1_001), contains(STEP));
    }

    @Test
    void stepWithoutKeysIsRemoved() {
        put(StoreKeys.MANIFEST, MANIFEST);
        put(StoreKeys.OWNER, new byte[] {'x'});
        remove(StoreKeys.OWNER);
        assertThat(mDirectory.ownedOrClaimableBy(SELF), contains(STEP));
        remove(StoreKeys.MANIFEST);

        assertThat(mDirectory.get(STEP), is(nullValue()));
    }

    @Test
    void malformedManifestMakesNoStepClaimable() {
        put(StoreKeys.MANIFEST, "{".getBytes(StandardCharsets.UTF_8));

        assertThat(mDirectory.ownedOrClaimableBy(SELF), is(empty()));
    }

    private void putManifest(String id, String model, int number) {
        String key = StoreKeys.liveKey(StepId.of(id), StoreKeys.MANIFEST);
        StepManifest manifest = new StepManifest("h", "/p/", model, number, 1, 2, null, 1_000);
        StoreItem item = new StoreItem(key, StepCodec.manifest(manifest), ++mRevision, 0);
        mDirectory.onChange(new StoreChange(key, mRevision, item));
    }

    @ParameterizedTest
    @CsvSource({"m, 4, third", "m, 3, second", "m, 1, none", "n, 9, none", "other, 9, none"})
    void predecessorIsTheNewestEarlierStepOfTheTrainerUnlessItIsDone(
            String model, int number, String expected) {
        putManifest("first", "m", 1);
        putManifest("second", "m", 2);
        putManifest("third", "m", 3);
        putManifest("whole", "n", 1);
        String done = StoreKeys.liveKey(StepId.of("whole"), StoreKeys.DONE);
        StoreItem item = new StoreItem(done, new byte[] {'1'}, ++mRevision, 0);
        mDirectory.onChange(new StoreChange(done, mRevision, item));
        StepManifest manifest = new StepManifest("h", "/p/", model, number, 1, 2, null, 2_000);

        StepId predecessor = mDirectory.findIncompletePredecessor(manifest);
        assertThat(predecessor == null ? "none" : predecessor.toString(), is(expected));
    }
}
