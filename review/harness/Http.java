import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client on loopback, one thread a connection. */
final class Http {
    private Http() {}

    /** A request or response. */
    static final class Message {
        String mFirstLine = "";
        final Map<String, String> mHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] mBody = new byte[0];

        String method() {
            return mFirstLine.split(" ")[0];
        }

        String target() {
            return mFirstLine.split(" ")[1];
        }

        String path() {
            String target = target();
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target().indexOf('?');
            if (mark >= 0) {
                for (String part : target().substring(mark + 1).split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) {
                        query.put(
                                part.substring(0, equals),
                                java.net.URLDecoder.decode(
                                        part.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
            }
            return query;
        }

        String header(String name) {
            return mHeaders.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(mFirstLine.split(" ")[1]);
        }

        String text() {
            return new String(mBody, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request; returns whether the connection is kept. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server on a free loopback port. */
    static final class Server {
        final ServerSocket mSocket;
        final int mPort;

        Server(Handler handler) throws IOException {
            mSocket = new ServerSocket();
            mSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
            mPort = mSocket.getLocalPort();
            thread("accept-" + mPort, () -> accept(handler));
        }

        private void accept(Handler handler) {
            while (true) {
                try {
                    Socket socket = mSocket.accept();
                    socket.setTcpNoDelay(true);
                    thread("connection", () -> serve(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65536);
                OutputStream out = socket.getOutputStream();
                Message request = read(in);
                while (request != null && handler.handle(request, out, socket)) {
                    request = read(in);
                }
            } catch (Exception ignored) {
                // The connection ended.
            }
        }
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        if (c < 0) {
            throw new IOException("ended in a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.mFirstLine = first;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.mHeaders.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("ended before a chunk");
                }
                int length = Integer.parseInt(size.strip(), 16);
                if (length == 0) {
                    line(in);
                    break;
                }
                body.write(readFully(in, length));
                line(in);
            }
        } else if (!message.header("Content-Length").isEmpty()) {
            body.write(readFully(in, Integer.parseInt(message.header("Content-Length"))));
        }
        message.mBody = body.toByteArray();
        return message;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("ended in a body");
        }
        return bytes;
    }

    static void respond(OutputStream out, int status, String body, String... headers)
            throws IOException {
        respond(out, status, body.getBytes(StandardCharsets.UTF_8), headers);
    }

    static void respond(OutputStream out, int status, byte[] body, String... headers)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** One client's connection. */
    static final class Client implements AutoCloseable {
        final Socket mSocket = new Socket();
        private InputStream mIn;

        Client(int port) throws IOException {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            mIn = new java.io.BufferedInputStream(mSocket.getInputStream());
        }

        /** Sends a request and reads its response; throws if the connection ends before. */
        Message call(String method, String target, byte[] body, int timeoutMs, String... headers)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            for (int i = 0; i < headers.length; i += 2) {
                head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            mSocket.setSoTimeout(timeoutMs);
            OutputStream out = mSocket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Message response = Http.read(mIn);
            if (response == null) {
                throw new java.io.EOFException("connection closed without an answer");
            }
            return response;
        }

        @Override
        public void close() {
            try {
                mSocket.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }
}
