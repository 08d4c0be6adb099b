import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes record.txt, and keeps what the samplers have seen. */
final class Record {
    /** A run at a sampler, with the time since the start in milliseconds. */
    record Run(String sampler, String service, String id, long atMs) {}

    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();
    private final List<Run> mRuns = new ArrayList<>();
    private final Map<String, String> mAtWork = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long nowMs() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.printf("%9.3f s  %s%n", nowMs() / 1_000.0, text);
    }

    void arrived(Sampler sampler, String id, Http.Message request) {
        // Only runs are recorded, to keep the file short.
    }

    synchronized void runs(Sampler sampler, String id, Http.Message request, String stamp) {
        mRuns.add(new Run(sampler.mId, sampler.mService, id, nowMs()));
        mAtWork.put(id, sampler.mId);
        line("sampler " + sampler.mId + " (" + sampler.mService + ") runs " + id);
    }

    void ended(Sampler sampler, String id) {
        mAtWork.remove(id);
        line("sampler " + sampler.mId + " ended " + id);
    }

    synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    /** Returns how often each service has run requests whose ID begins with a prefix. */
    synchronized Map<String, Integer> runsByService(String prefix) {
        Map<String, Integer> counts = new HashMap<>();
        for (Run run : mRuns) {
            if (run.id().startsWith(prefix)) {
                counts.merge(run.service(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns whether a sampler began to run a request. */
    synchronized boolean hasRun(String id) {
        return mRuns.stream().anyMatch(run -> run.id().equals(id));
    }
}
