package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.stream.IntStream;
import org.ebonyrun.platform.standin.StandinDeployment;
import org.ebonyrun.platform.standin.StandinEndpoint;
import org.ebonyrun.platform.standin.StreamBreaks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * All entries are killed at once while they carry streams, and start again with nothing in memory;
 * callers come again at any entry, with and without the name of their first request. The number of
 * streams of each case is read from the system property {@code ebonyrun.powerloss.streams}.
 */
class PowerLossStreamTest {
    /** What happens to the endpoints of the old software version. */
    enum Release {
        BOTH_SERVE,
        OLD_ONES_HAVE_JUST_LEFT,
        NEW_ONES_REPLACE_THEM_AT_THE_KILL
    }

    /** What a caller got over all its tries. */
    private static final class Caller {
        final String mFirst;
        final boolean mIsNamed;
        final List<String> mEvents = new ArrayList<>();
        boolean mServed;
        boolean mBegunBeforeKill;

        Caller(String first, boolean isNamed) {
            mFirst = first;
            mIsNamed = isNamed;
        }
    }

    private static final int OK = 200;
    private static final int EVENTS = 5;
    private static final int ENTRIES = 2;
    private static final int STREAMS_A_ROUND = 17;
    private static final int DEFAULT_STREAMS = 17;
    private static final int TRIES = 3;
    private static final int MAX_OTHERS = 300;

    @TempDir Path mFolder;
    private final Random mRandom = new Random(1);
    private final StreamBreaks mBreaks = new StreamBreaks();
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private StandinDeployment mDeployment;

    @AfterEach
    void stopThreads() {
        mThreads.shutdownNow();
    }

    private void startEntries() throws IOException {
        mEntries.clear();
        for (int i = 1; i <= ENTRIES; i++) {
            mEntries.add(EntryProcess.start(mFolder, "edge-" + i, mDeployment.storeAddress()));
        }
        mEntries.forEach(EntryProcess::awaitReady);
    }

    private void killEntries() throws InterruptedException {
        mEntries.forEach(EntryProcess::kill);
        for (EntryProcess entry : mEntries) {
            entry.awaitEnd();
        }
    }

    private void startEndpoint(String id, String software) throws IOException {
        prepare(mDeployment.startEndpoint(id, HostedFixture.freeAddress(), software));
    }

    private void prepare(StandinEndpoint endpoint) {
        endpoint.breakAsPlanned(mBreaks);
        endpoint.nameInEvents();
    }

    private StreamCaller.Part call(
            String front, String id, Map<String, String> more, Runnable onPiece) {
        Map<String, String> headers = new HashMap<>(StandinDeployment.headers(id));
        headers.put("X-Model", "m");
        headers.putAll(more);
        return StreamCaller.read(front, mDeployment.streamPath(id), headers, onPiece);
    }

    private void add(Caller caller, StreamCaller.Part part) {
        int from = caller.mEvents.size() + 1;
        List<Integer> expected =
                IntStream.range(from, from + part.numbers().size()).boxed().toList();
        assertThat("numbers of " + caller.mFirst, part.numbers(), is(expected));
        caller.mEvents.addAll(part.events());
        caller.mServed = part.status() == OK && part.complete();
    }

    /** Runs other streams, so that those before are older at the kill than those after. */
    private void runOthers(int round) {
        for (int others = mRandom.nextInt(MAX_OTHERS); others > 0; others--) {
            String front = mEntries.get(mRandom.nextInt(ENTRIES)).front();
            call(front, "other" + round + "-" + others, Map.of(), () -> {});
        }
    }

    /** Returns the callers whose streams were under way when all entries were killed. */
    private List<Caller> beginAndKill(int round, Release release) throws Exception {
        List<Caller> callers = new ArrayList<>();
        List<CompletableFuture<StreamCaller.Part>> parts = new ArrayList<>();
        // The entries are killed as soon as callers have so many pieces of streams.
        int begun = 1 + mRandom.nextInt(STREAMS_A_ROUND / 2);
        Semaphore pieces = new Semaphore(0);
        for (int i = 0; i < STREAMS_A_ROUND; i++) {
            if (i == STREAMS_A_ROUND / 2) {
                runOthers(round);
                pieces.drainPermits();
            }
            Caller caller = new Caller("s" + round + "-" + i, mRandom.nextInt(4) > 0);
            callers.add(caller);
            mBreaks.addHold(caller.mFirst, 1 + mRandom.nextInt(EVENTS - 1));
            String front = mEntries.get(mRandom.nextInt(ENTRIES)).front();
            parts.add(
                    CompletableFuture.supplyAsync(
                            () -> call(front, caller.mFirst, Map.of(), pieces::release), mThreads));
        }
        pieces.acquire(begun);
        if (release == Release.NEW_ONES_REPLACE_THEM_AT_THE_KILL) {
            startEndpoint("i-3", "v2");
            startEndpoint("i-4", "v2");
        }
        if (release != Release.BOTH_SERVE) {
            mDeployment.unregister("i-1");
            mDeployment.unregister("i-2");
        }
        killEntries();
        for (int i = 0; i < STREAMS_A_ROUND; i++) {
            add(callers.get(i), parts.get(i).join());
            callers.get(i).mBegunBeforeKill = !callers.get(i).mEvents.isEmpty();
        }
        return callers;
    }

    /** Takes up a stream, or asks for it anew if there is nothing of it. */
    private void comeAgain(Caller caller) {
        for (int attempt = 1; attempt <= TRIES && !caller.mServed; attempt++) {
            Map<String, String> headers = new HashMap<>();
            if (!caller.mEvents.isEmpty()) {
                headers.put("Last-Event-Id", Integer.toString(caller.mEvents.size()));
                if (caller.mIsNamed) {
                    headers.put("Resumes", caller.mFirst);
                }
            }
            String front = mEntries.get(mRandom.nextInt(ENTRIES)).front();
            add(caller, call(front, caller.mFirst + "-" + attempt, headers, () -> {}));
        }
    }

    /** Asks for a new stream, which must be served. */
    private void askAnew(String id) {
        String front = mEntries.get(mRandom.nextInt(ENTRIES)).front();
        StreamCaller.Part part = call(front, id, Map.of(), () -> {});
        assertThat(id + " at " + front, part.events().size(), is(EVENTS));
    }

    private static String software(String event) {
        return event.startsWith("i-1-") || event.startsWith("i-2-") ? "v1" : "v2";
    }

    @ParameterizedTest
    @EnumSource
    void noTextGoesOnAtAnotherVersion(Release release) throws Exception {
        int streams = Integer.getInteger("ebonyrun.powerloss.streams", DEFAULT_STREAMS);
        List<String> joined = new ArrayList<>();
        int broken = 0;
        int wentOn = 0;
        for (int round = 0; round * STREAMS_A_ROUND < streams; round++) {
            mDeployment =
                    StandinDeployment.start(
                            HostedFixture.freeAddress(), HostedFixture.freeAddress());
            try {
                mDeployment.register("i-1", mDeployment.endpointAddress(), "ready", 1, "v1");
                prepare(mDeployment.endpoint());
                startEndpoint("i-2", "v1");
                if (release != Release.NEW_ONES_REPLACE_THEM_AT_THE_KILL) {
                    startEndpoint("i-3", "v2");
                    startEndpoint("i-4", "v2");
                }
                startEntries();
                List<Caller> callers = beginAndKill(round, release);
                startEntries();
                if (mRandom.nextBoolean()) {
                    askAnew("before-" + round);
                }
                for (Caller caller : callers) {
                    comeAgain(caller);
                    List<String> versions =
                            caller.mEvents.stream().map(e -> software(e)).distinct().toList();
                    if (versions.size() > 1) {
                        joined.add(caller.mFirst + " " + caller.mEvents);
                    }
                    broken += caller.mBegunBeforeKill ? 1 : 0;
                    wentOn += caller.mBegunBeforeKill && caller.mServed ? 1 : 0;
                }
                askAnew("after-" + round);
            } finally {
                killEntries();
                mDeployment.close();
            }
        }
        System.out.printf("%s: %d of %d broken streams went on%n", release, wentOn, broken);

        assertThat(joined, is(empty()));
        assertThat(broken, greaterThan(0));
    }
}
