import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A trainer submits a batch job whose items name, among their headers, one that concerns only a
 * connection: Upgrade. The samplers read requests as HTTP/1.1 defines them, and record each one
 * that they run with its body.
 */
public final class ItemHeaders {
    private static final Set<String> RUN = new TreeSet<>();
    private static final List<String> BROKEN = new ArrayList<>();
    private static final String FOREIGN = "f00df00df00df00d";

    private ItemHeaders() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0], "record.txt"));
        List<Entry> entries = new ArrayList<>();
        int status = 2;
        try {
            Store store = new Store();
            for (int i = 1; i <= 6; i++) {
                startSampler(store, record, "i-llm" + i);
            }
            store.put("op/config", config());
            for (int i = 1; i <= 2; i++) {
                entries.add(new Entry(folder, record, "edge-" + i, "hall-a", store.openPort()));
            }
            for (Entry entry : entries) {
                if (!entry.awaitReady(30)) {
                    throw new IOException(entry.mName + " is not ready");
                }
            }
            Thread.sleep(4_000);
            int first = submit(entries.get(0), record, "aaaa", trouble, embedded());
            Thread.sleep(3_000);
            int second = submit(entries.get(0), record, "bbbb", false, plainBody());
            Thread.sleep(3_000);
            int items;
            synchronized (RUN) {
                items = (int) RUN.stream().filter(id -> id.startsWith("aaaa")).count();
                record.line(
                        "batch jobs answered "
                                + first
                                + " and "
                                + second
                                + "; items of the first that ran: "
                                + items
                                + "; requests that ran and that no client sent, or with a changed"
                                + " method or body: "
                                + BROKEN.size());
                BROKEN.stream().limit(20).forEach(record::line);
                status =
                        first != 202 || second != 202 || items == 0 ? 2 : BROKEN.isEmpty() ? 0 : 1;
            }
            record.line(
                    status == 1 ? "BROKEN: UNASKED" : status == 0 ? "held" : "could not run");
        } catch (IOException e) {
            record.line("could not run: " + e);
        } finally {
            entries.forEach(Entry::stop);
        }
        System.exit(status);
    }

    /** The body of an item: itself the text of a request, as a trainer of tools has it. */
    private static byte[] embedded() {
        return ("POST /roll/3/other HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: "
                        + FOREIGN
                        + "\r\nX-Model: m\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] plainBody() {
        return "a plain body".getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void startSampler(Store store, Record record, String id) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Http.thread(
                "beat-" + id,
                () -> {
                    try {
                        for (int seq = 1; true; seq++) {
                            store.put("servers/" + id, registration(server.getLocalPort(), seq));
                            Thread.sleep(1_200);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        Http.thread(
                "accept-" + id,
                () -> {
                    try {
                        while (true) {
                            Socket socket = server.accept();
                            Http.thread("connection", () -> serve(socket, record, id));
                        }
                    } catch (IOException e) {
                        record.line("sampler " + id + " stopped: " + e.getMessage());
                    }
                });
    }

    private static String registration(int port, int seq) {
        return "{\"service\":\"model-servers\",\"addr\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                + "\"cold_left_ms\":0,\"seq\":"
                + seq
                + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}]}";
    }

    private static void serve(Socket socket, Record record, String sampler) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!answer(request, out, record, sampler)) {
                    return;
                }
            }
        } catch (Exception ignored) {
            // The connection ended.
        }
    }

    /** Answers one request; returns whether the connection is kept. */
    private static boolean answer(
            Http.Message request, OutputStream out, Record record, String sampler)
            throws Exception {
        String[] parts = request.mFirstLine.split(" ");
        String id = request.header("X-Request-Id");
        if (parts.length != 3 || !parts[0].matches("[A-Z]+") || !parts[2].equals("HTTP/1.1")) {
            record.line("sampler " + sampler + " rejects '" + request.mFirstLine + "'");
            Http.respond(out, 400, "", "Connection", "close", "X-Not-Run", "1");
            return false;
        }
        if (!request.header("Transfer-Encoding").isEmpty()
                && !request.header("Content-Length").isEmpty()) {
            Http.respond(out, 400, "", "Connection", "close", "X-Not-Run", "1");
            return false;
        }
        if (id.isEmpty()) {
            Http.respond(out, 400, "", "X-Not-Run", "1");
            return true;
        }
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(sampler)) {
            Http.respond(out, 421, "", "X-Request-Id", id, "X-Instance-Id", sampler);
            return true;
        }
        check(request, id, record, sampler);
        String events = "";
        for (int n = 1; n <= 5; n++) {
            Thread.sleep(20);
            events += "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
        }
        Http.respond(
                out,
                200,
                events,
                "Content-Type",
                "text/event-stream",
                "X-Request-Id",
                id,
                "X-Server-Stamp",
                "3e1b.07.5a2." + id,
                "X-Weight-Versions",
                "1");
        return true;
    }

    private static void check(Http.Message request, String id, Record record, String sampler) {
        byte[] expected = id.startsWith("aaaa") ? embedded() : plainBody();
        boolean isItem = id.startsWith("aaaa") || id.startsWith("bbbb");
        synchronized (RUN) {
            RUN.add(id);
            String run = "sampler " + sampler + " runs " + request.mFirstLine + ", id " + id;
            record.line(run + ", body of " + request.mBody.length + " bytes");
            if (!isItem) {
                BROKEN.add(run + ": no client sent a request with this id");
            } else if (!java.util.Arrays.equals(request.mBody, expected)
                    || !request.method().equals("POST")) {
                BROKEN.add(
                        run
                                + ": body of "
                                + request.mBody.length
                                + " bytes, the item's has "
                                + expected.length);
            }
        }
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + "{\"name\":\"r-roll\",\"host\":\"ficu95.example\",\"prefix\":\"/roll/\","
                + "\"type\":\"rollout\",\"timeout_ms\":10000,\"latency_goal_ms\":500,"
                + "\"priority\":0,\"service\":\"model-servers\",\"max_attempts\":3,"
                + "\"due_ms\":7500,\"max_wait_s\":40}],"
                + "\"services\":[{\"name\":\"model-servers\",\"health_path\":\"/healthz\","
                + "\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
                + "\"kv_capacity\":38690,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static int submit(
            Entry entry, Record record, String prefix, boolean upgrade, byte[] body) {
        String id = prefix + "e09b52d6a3f8";
        StringBuilder json =
                new StringBuilder(
                        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"group_count\":7,"
                                + "\"items\":[");
        for (int i = 0; i < 32; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(String.format("%s%012x", prefix, i))
                    .append("\",\"path\":\"/roll/3/91c4\",\"headers\":{\"X-Model\":\"m\",")
                    .append(upgrade ? "\"Upgrade\":\"h2c\"," : "")
                    .append("\"X-Token-Count\":\"271,92\",\"X-Prefix-Hash\":\"9c2e41:255,")
                    .append(String.format("%x:16\"},", 0x5d07b8 + i))
                    .append("\"body\":\"")
                    .append(Base64.getEncoder().encodeToString(body))
                    .append("\",\"tokens\":363,\"group\":\"g")
                    .append(i / 4)
                    .append("\"}");
        }
        json.append("]}");
        record.line("batch job " + id + " of 32 items sent" + (upgrade ? ", with Upgrade" : ""));
        try (Http.Client client = new Http.Client(entry.mFront)) {
            int status =
                    client.call(
                                    "POST",
                                    "/roll/" + id,
                                    json.toString().getBytes(StandardCharsets.ISO_8859_1),
                                    12_000,
                                    "Host",
                                    "ficu95.example",
                                    "X-Request-Id",
                                    id,
                                    "X-Deadline-Ms",
                                    "12000",
                                    "Content-Type",
                                    "application/json")
                            .status();
            record.line("batch job " + id + " answered " + status);
            return status;
        } catch (IOException e) {
            record.line("batch job " + id + " got no answer: " + e.getMessage());
            return 0;
        }
    }
}
