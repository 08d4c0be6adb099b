package org.ebonyrun.daemon.hosted;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads a stream of events over a socket of its own, also if it breaks off. */
final class StreamCaller {
    /**
     * What a caller got.
     *
     * @param status the status; zero if there was no whole head
     * @param complete whether the response ended as a whole one
     * @param events the data of the whole events, in order
     * @param numbers their numbers
     */
    record Part(int status, boolean complete, List<String> events, List<Integer> numbers) {}

    private StreamCaller() {}

    static Part read(String address, String target, Map<String, String> headers) {
        return read(address, target, headers, () -> {});
    }

    /** Reads a stream; {@code onPiece} is run after each piece of its body. */
    static Part read(String address, String target, Map<String, String> headers, Runnable onPiece) {
        int colon = address.indexOf(':');
        StringBuilder request = new StringBuilder("POST " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> request.append(name + ": " + value + "\r\n"));
        request.append("Content-Length: 0\r\n\r\n");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int[] status = {0};
        boolean complete = false;
        try (Socket socket =
                new Socket(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(HostedFixture.SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            complete = readResponse(in, status, body, onPiece);
        } catch (IOException e) {
            // The entry is gone, or has closed the connection; what was read counts.
            complete = false;
        }
        return part(status[0], complete, body.toString(StandardCharsets.UTF_8));
    }

    private static boolean readResponse(
            InputStream in, int[] status, ByteArrayOutputStream body, Runnable onPiece)
            throws IOException {
        String line = readLine(in);
        int parsed = Integer.parseInt(line.split(" ")[1]);
        boolean chunked = false;
        long length = 0;
        for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(lower.substring(lower.indexOf(':') + 1).strip());
            }
        }
        status[0] = parsed;
        while (chunked) {
            int size = Integer.parseInt(readLine(in).strip(), 16);
            if (size == 0) {
                readLine(in);
                return true;
            }
            body.write(readExactly(in, size));
            readLine(in);
            onPiece.run();
        }
        body.write(readExactly(in, (int) length));
        return true;
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("closed after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("closed within a line");
            }
            line.append((char) b);
        }
        return line.toString().stripTrailing();
    }

    private static Part part(int status, boolean complete, String body) {
        List<String> events = new ArrayList<>();
        List<Integer> numbers = new ArrayList<>();
        String[] blocks = body.split("\n\n", -1);
        for (int i = 0; i < blocks.length - 1; i++) {
            String[] lines = blocks[i].split("\n");
            numbers.add(Integer.parseInt(lines[0].substring("id: ".length())));
            events.add(lines[1].substring("data: ".length()));
        }
        boolean whole = complete && blocks[blocks.length - 1].isEmpty();
        return new Part(status, whole, events, numbers);
    }
}
