import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * An entry: the process of the role {@code entry} of deploy/system.toml, started with the command
 * that stands there. Only the path of the settings file differs; the file has what the template
 * deploy/entry.yaml gives for the bounds of cs-deice. A process that ends is started again after
 * half a second, as the platform does.
 */
final class Entry {
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED = new HashSet<>();

    final String mName;
    final int mFront;
    final int mReady;
    private final Path mSettings;
    private final Path mLog;
    private final Record mRecord;
    private volatile Process mProcess;
    private volatile boolean mStopping;
    private final List<String> mExits = new ArrayList<>();

    Entry(Path folder, Record record, String name, String zone, int storePort) throws IOException {
        mName = name;
        mRecord = record;
        mFront = freePort();
        mReady = freePort();
        mSettings = folder.resolve(name + ".yaml");
        mLog = folder.resolve(name + ".log");
        Files.writeString(
                mSettings,
                "role: hosted-entry\nvm: "
                        + name
                        + "\nfailure_domain: "
                        + zone
                        + "\nlisten: {front: \"127.0.0.1:"
                        + mFront
                        + "\", ready: \"127.0.0.1:"
                        + mReady
                        + "\", metrics: \"127.0.0.1:"
                        + freePort()
                        + "\"}\nstore: \"127.0.0.1:"
                        + storePort
                        + "\"\nfirst_start: true\n"
                        + "limits: {order_quiet: 500ms, grace: 8s, keep_results: 120s, "
                        + "config_within: 2000ms, leaving_within: 2000ms, contact_within: 3000ms, "
                        + "store_writes: 400}\n");
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        start();
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = 15_000 + RANDOM.nextInt(15_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (USED.add(port)) {
                    return socket.getLocalPort();
                }
            } catch (IOException ignored) {
                // The port is taken.
            }
        }
        throw new IOException("no free port");
    }

    private static List<String> command() throws IOException {
        boolean entry = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            entry = line.startsWith("[") ? line.equals("[roles.entry]") : entry;
            if (entry && line.startsWith("run = \"")) {
                String run = line.substring(7, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(run.split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no command of the role entry");
    }

    private void start() throws IOException {
        List<String> command = command();
        command.set(command.size() - 1, mSettings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(
                Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        builder.directory(new File("."));
        Process process = builder.start();
        mProcess = process;
        mRecord.line(mName + " started");
        Http.thread("wait-" + mName, () -> await(process));
    }

    private void await(Process process) {
        try {
            int status = process.waitFor();
            if (mStopping) {
                return;
            }
            mRecord.line(mName + " ENDED BY ITSELF with status " + status);
            synchronized (mExits) {
                mExits.add("status " + status);
            }
            Thread.sleep(500);
            if (!mStopping) {
                start();
            }
        } catch (IOException e) {
            mRecord.line(mName + " could not be started: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how often the process has ended by itself. */
    int exits() {
        synchronized (mExits) {
            return mExits.size();
        }
    }

    /** Waits until the entry reports that it is ready; returns whether it did. */
    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Http.Client client = new Http.Client(mReady)) {
            return client.call("GET", "/readyz", new byte[0], 1_000, "Host", "x").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends the process. */
    void stop() {
        mStopping = true;
        Process process = mProcess;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
