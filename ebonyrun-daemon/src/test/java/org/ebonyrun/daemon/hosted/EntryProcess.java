package org.ebonyrun.daemon.hosted;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/** An entry in a process of its own, which can be killed. */
final class EntryProcess {
    private static final long BYTES_PER_KIB = 1_024;

    private final Process mProcess;
    private final String mFront;
    private final String mMetrics;
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();

    private EntryProcess(Process process, String front, String metrics) {
        mProcess = process;
        mFront = front;
        mMetrics = metrics;
        Thread reader = new Thread(this::readLog, "log of " + front);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts an entry.
     *
     * @param folder where its settings are written
     */
    static EntryProcess start(Path folder, String vm, InetSocketAddress store) throws IOException {
        return start(folder, vm, store, List.of("-XX:TieredStopAtLevel=1"));
    }

    /**
     * Starts an entry with options of the Java virtual machine.
     *
     * @param folder where its settings are written
     */
    static EntryProcess start(Path folder, String vm, InetSocketAddress store, List<String> options)
            throws IOException {
        return start(folder, vm, store, options, List.of());
    }

    /**
     * Starts an entry which may open a limited number of descriptors.
     *
     * @param folder where its settings are written
     */
    static EntryProcess startWithDescriptors(
            Path folder, String vm, InetSocketAddress store, List<String> options, int descriptors)
            throws IOException {
        String limited = "ulimit -n " + descriptors + " && exec \"$@\"";
        return start(folder, vm, store, options, List.of("/bin/sh", "-c", limited, "sh"));
    }

    private static EntryProcess start(
            Path folder,
            String vm,
            InetSocketAddress store,
            List<String> options,
            List<String> launcher)
            throws IOException {
        String front = HostedFixture.formatAddress(HostedFixture.freeAddress());
        String metrics = freeAddress();
        String settings =
                HostedSettingsTest.COMPLETE_SETTINGS
                        .replace("edge-1", vm)
                        .replace("10.1.0.35:8144", front)
                        .replace("10.1.0.35:8140", freeAddress())
                        .replace("10.1.0.35:9464", metrics)
                        .replace("10.200.1.7:8142", HostedFixture.formatAddress(store));
        Path file = Files.writeString(folder.resolve(vm + ".yaml"), settings);
        List<String> command = new ArrayList<>(launcher);
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(options);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(HostedMain.class.getName());
        command.add(file.toString());
        Process process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        return new EntryProcess(process, front, metrics);
    }

    /**
     * Returns the options with which the deploy file starts an entry, without its class archive.
     */
    static List<String> deployedOptions() throws IOException {
        for (String line : Files.readAllLines(Path.of("..", "deploy", "system.toml"))) {
            if (line.startsWith("run = ") && line.contains("/etc/ebonyrun/local.toml")) {
                return Arrays.stream(line.split(" "))
                        .filter(word -> word.startsWith("-X") && !word.contains("share"))
                        .filter(word -> !word.contains("SharedArchiveFile"))
                        .toList();
            }
        }
        throw new IOException("the deploy file starts no entry");
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns {@code running}, or how the process ended. */
    String state() {
        return isAlive() ? "running" : "ended with status " + mProcess.exitValue();
    }

    private static String freeAddress() throws IOException {
        return HostedFixture.formatAddress(HostedFixture.freeAddress());
    }

    private void readLog() {
        try (BufferedReader log =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                if (line.contains("\"ready\":true")) {
                    mReady.complete(null);
                }
            }
        } catch (IOException e) {
            // The process was killed; what it logged before counts.
        }
        mReady.completeExceptionally(new IOException("the entry has ended"));
    }

    String front() {
        return mFront;
    }

    /** Returns the address of the metrics. */
    String metrics() {
        return mMetrics;
    }

    void awaitReady() {
        mReady.join();
    }

    /** Returns the largest resident set of the process so far, in bytes. */
    long peakMemoryBytes() throws IOException {
        for (String line : Files.readAllLines(processFile("status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KIB;
            }
        }
        throw new IOException("the process has no resident set");
    }

    /** Returns the number of descriptors that the process has open. */
    long openDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(processFile("fd"))) {
            return descriptors.count();
        }
    }

    private Path processFile(String name) {
        return Path.of("/proc", Long.toString(mProcess.pid()), name);
    }

    long pid() {
        return mProcess.pid();
    }

    /** Kills the process by SIGKILL; does not wait for its end. */
    void kill() {
        mProcess.destroyForcibly();
    }

    void awaitEnd() throws InterruptedException {
        mProcess.waitFor();
    }
}
