import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, in milliseconds since its start. */
final class RunRecord {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    RunRecord(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void add(String format, Object... args) {
        mOut.printf("%7d  %s%n", millis(), String.format(format, args));
    }
}
