import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An entry of the project as a separate process, started with the command of the deploy file. */
final class Entry {
    private static final List<Entry> STARTED = new ArrayList<>();

    static {
        // The processes end with this one, also if it is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll, "end"));
    }

    final String name;
    private static final int MAX_STARTS = 4;

    int front = freePort();
    int ready = freePort();
    int metrics = freePort();
    private final Path mFolder;
    private final int mStorePort;
    private final String mLimits;
    private Process mProcess;
    private boolean mWasReady;
    private int mStarts;

    /**
     * @param limits the limits, as deploy/entry.yaml renders them from the bounds of a deployment
     */
    Entry(String name, Path folder, int storePort, String limits) {
        this.name = name;
        mFolder = folder;
        mStorePort = storePort;
        mLimits = limits;
    }

    /** Returns a free port outside the range from which outgoing connections take theirs. */
    static int freePort() {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(16_000, 32_000);
            try (ServerSocket socket = new ServerSocket()) {
                // Without this, a port with a connection in TIME_WAIT looks free.
                socket.setReuseAddress(false);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static List<String> command(String settings) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles.entry]") : inRole;
            if (inRole && line.startsWith("run = \"")) {
                String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(Arrays.asList(run.split(" ")));
                words.set(words.indexOf("/etc/ebonyrun/local.toml"), settings);
                return words;
            }
        }
        throw new IOException("deploy/system.toml has no command of the role entry");
    }

    /** Starts the process; the current folder must be the repository's root. */
    void start(boolean firstStart) throws IOException {
        Path settings = mFolder.resolve(name + ".yaml");
        Files.writeString(
                settings,
                "role: hosted-entry\nvm: "
                        + name
                        + "\nfailure_domain: zone-a\nlisten: {front: \"127.0.0.1:"
                        + front
                        + "\", ready: \"127.0.0.1:"
                        + ready
                        + "\", metrics: \"127.0.0.1:"
                        + metrics
                        + "\"}\nstore: \"127.0.0.1:"
                        + mStorePort
                        + "\"\nfirst_start: "
                        + firstStart
                        + "\nlimits: "
                        + mLimits
                        + "\n");
        ProcessBuilder builder = new ProcessBuilder(command(settings.toString()));
        builder.redirectErrorStream(true);
        File log = mFolder.resolve(name + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("EBONYRUN_BOOT", settings.toString());
        mStarts++;
        mProcess = builder.start();
        synchronized (STARTED) {
            STARTED.add(this);
        }
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(5, TimeUnit.SECONDS);
    }

    boolean isReady() {
        try {
            HttpURLConnection probe =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + ready + "/readyz")
                                    .toURL()
                                    .openConnection();
            probe.setConnectTimeout(500);
            probe.setReadTimeout(500);
            return probe.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            if (!mWasReady && !mProcess.isAlive() && mStarts < MAX_STARTS) {
                // Another process has taken one of its ports meanwhile.
                front = freePort();
                ready = freePort();
                metrics = freePort();
                try {
                    start(true);
                } catch (IOException e) {
                    return false;
                }
            }
            Thread.sleep(20);
        }
        mWasReady = true;
        return true;
    }

    /** Ends all processes that this run started. */
    static void endAll() {
        synchronized (STARTED) {
            for (Entry entry : STARTED) {
                entry.mProcess.destroyForcibly();
            }
            for (Entry entry : STARTED) {
                try {
                    entry.mProcess.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }
}
