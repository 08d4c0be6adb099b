import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Tells which process that this run started has opened a connection to one of its stand-ins. */
final class Sockets {
    private Sockets() {}

    /** Returns whether a process holds the socket from a local port to another one. */
    static boolean isOf(long pid, int localPort, int remotePort) {
        try {
            String local = String.format(":%04X", localPort);
            String remote = String.format(":%04X", remotePort);
            for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
                for (String line : Files.readAllLines(Path.of(table))) {
                    String[] words = line.strip().split("\\s+");
                    if (words.length > 9
                            && words[1].endsWith(local)
                            && words[2].endsWith(remote)
                            && holds(pid, "socket:[" + words[9] + "]")) {
                        return true;
                    }
                }
            }
        } catch (IOException ignored) {
            // The process has ended.
        }
        return false;
    }

    private static boolean holds(long pid, String socket) throws IOException {
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "fd"))) {
            for (Path file : files) {
                try {
                    if (Files.readSymbolicLink(file).toString().equals(socket)) {
                        return true;
                    }
                } catch (IOException ignored) {
                    // It was closed meanwhile.
                }
            }
        }
        return false;
    }
}
