package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.call.CallAdmission;
import org.ebonyrun.core.call.CallFingerprint;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.ports.store.CommitOutcome;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointRecordsTest {
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final CallFingerprint CALL = new CallFingerprint("call");

    private static final class FakeStore extends StubStore {
        final List<Transaction> mTransactions = new ArrayList<>();

        @Override
        public CompletableFuture<Result<CommitResult>> commit(Transaction transaction) {
            mTransactions.add(transaction);
            return CompletableFuture.completedFuture(
                    Result.ok(new CommitResult(CommitOutcome.COMMITTED, 1, List.of())));
        }
    }

    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private final StubContext mContext = new StubContext(mLog);
    private final FakeStore mStore = new FakeStore();
    private final Fleet mFleet = Fleet.create();
    private final CrashController mCrashes = new CrashController(mContext, mStore);
    private long mNow;
    private final EndpointRecords mRecords =
            new EndpointRecords(mContext, mFleet, mCrashes, () -> mNow);
    private long mRevision;

    private static String record(long born) {
        return "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"a\",\"slots\":8,"
                + "\"version\":\"v1\",\"seq\":1,\"state\":\"ready\",\"born\":"
                + born
                + "}";
    }

    private StoreItem item(String id, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new StoreItem("servers/" + id, bytes, ++mRevision, 0);
    }

    private void change(String id, String value) {
        StoreItem item = item(id, value);
        mRecords.onChange(new StoreChange(item.key(), item.revision(), item));
    }

    private List<String> serving() {
        return mFleet.serving(SERVICE).stream().map(Endpoint::id).toList();
    }

    private List<String> logLines(String event) {
        mContext.log().close();
        return mLog.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\u0000\u0001",
                "[]",
                "{}",
                "{\"service\":\"s\"}",
                "{\"service\":\"s\",\"addr\":7,\"zone\":\"a\",\"slots\":8,\"state\":\"ready\"}",
                "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"a\",\"slots\":8,"
                        + "\"version\":\"v1\",\"seq\":1,\"state\":\"odd\"}"
            })
    void anUnreadableRecordNamesNoEndpointAndTheOthersHold(String value) {
        change("a", record(100));
        change("x", value);
        assertThat(serving(), contains("a"));

        mRecords.onSnapshot(List.of(item("x", value), item("a", record(100))));
        assertThat(serving(), contains("a"));
    }

    @Test
    void aRecordThatBecomesUnreadableNamesNoEndpointHoweverItIsRead() {
        change("a", record(100));
        change("b", record(100));
        change("a", "{");
        assertThat(serving(), contains("b"));

        change("a", record(100));
        assertThat(serving(), contains("a", "b"));
        mRecords.onSnapshot(List.of(item("a", "{"), item("b", record(100))));
        assertThat(serving(), contains("b"));
    }

    @Test
    void unreadableRecordsAreLoggedInFewShortLines() {
        List<StoreItem> items = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            items.add(item("x" + i, "{\"state\":\"" + "y".repeat(5_000) + "\"}"));
        }
        items.add(item("z".repeat(50_000), "{"));
        mRecords.onSnapshot(items);
        for (StoreItem item : items) {
            mNow += Nanos.ofMillis(2);
            mRecords.onChange(new StoreChange(item.key(), 1, item));
        }

        List<String> lines = logLines("endpoint.unreadable");
        assertThat(lines, hasSize(3));
        lines.forEach(line -> assertThat(line.length(), is(lessThan(600))));
        assertThat(lines.get(0), containsString("\"records\":1001"));
    }

    @Test
    void aStartUnderAnOldIdIsASignThatTheEarlierLifeCrashed() {
        change("a", record(100));
        String earlier = mFleet.get("a").record().lifeName();
        mCrashes.onUnanswered(CALL, "r1", earlier);
        change("a", record(100));
        assertThat(mCrashes.isEmpty(), is(true));

        change("a", record(200));
        assertThat(mCrashes.isEmpty(), is(false));
        assertThat(mCrashes.admission(CALL, 1, "r"), is(CallAdmission.ADMITTED));
    }

    @Test
    void aCallThatCrashesThreeLivesOfOneEndpointIsBlocked() {
        for (long born = 100; born <= 300; born += 100) {
            change("a", record(born));
            mCrashes.onCrash(CALL, "r", mFleet.get("a").record().lifeName());
            mCrashes.onCrash(CALL, "r", mFleet.get("a").record().lifeName());
            CallAdmission expected = born == 300 ? CallAdmission.BLOCKED : CallAdmission.ADMITTED;
            assertThat(mCrashes.admission(CALL, 1, "r"), is(expected));
        }
    }

    @Test
    void theRemovalOfARecordIsASignThatItsLastLifeCrashed() {
        change("a", record(100));
        mCrashes.onUnanswered(CALL, "r1", mFleet.get("a").record().lifeName());
        mRecords.onChange(new StoreChange("servers/a", ++mRevision, null));

        assertThat(mCrashes.isEmpty(), is(false));
        assertThat(mStore.mTransactions, hasSize(0));
    }
}
