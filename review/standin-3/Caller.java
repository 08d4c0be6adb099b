import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of a client: one attempt on a connection of its own. */
final class Caller {
    /** An answer; the status is 0 if the connection ended without a complete one. */
    record Answer(int status, Map<String, String> headers, byte[] body, String failure) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Caller() {}

    static Answer call(
            int port,
            String method,
            String target,
            String host,
            Map<String, String> headers,
            byte[] body,
            int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
            head.append("Host: ").append(host).append("\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            request.writeBytes(body);
            socket.getOutputStream().write(request.toByteArray());
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], e.toString());
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static byte[] bytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("the body ended early");
        }
        return bytes;
    }

    private static Answer read(InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).split(" ")[1]);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.writeBytes(bytes(in, size));
                line(in);
            }
            line(in);
        } else {
            body.writeBytes(
                    bytes(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
        }
        return new Answer(status, headers, body.toByteArray(), "");
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).strip(), 16);
    }
}
