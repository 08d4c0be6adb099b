package org.ebonyrun.client.demo;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.daemon.agent.AgentNode;
import org.ebonyrun.daemon.entry.EntryNode;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.vm.VmRecord;
import org.ebonyrun.standin.engine.EngineSettings;
import org.ebonyrun.standin.engine.StandinEngine;
import org.ebonyrun.standin.engine.StandinService;
import org.ebonyrun.standin.loopback.LoopbackSettings;
import org.ebonyrun.standin.platform.StandinPlatform;

/**
 * The components of the demonstration: 2 entries, 4 engines and 2 plain services in 3 failure
 * domains, with an agent beside each endpoint, and a stand-in of the platform. All run in this
 * process and communicate over real sockets.
 *
 * <p>Not thread safe during the start, thread safe afterwards.
 */
final class DemoFleet implements AutoCloseable {
    static final String MODEL_SERVICE = "model-servers";
    static final String QUEUE_SERVICE = "queue-app";

    private static final String HOST = LoopbackSettings.HOST;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 4;
    private static final int SERVICES = 2;
    private static final int DOMAINS = 3;
    private static final int ENTRIES_PER_ENDPOINT = 4;
    private static final int SLOTS_PER_ENGINE = 8;
    private static final int TOKENS_PER_CHUNK = 4;
    private static final long CHUNK_MILLIS = 10;
    private static final long SWAP_MILLIS = 150;
    private static final long SERVICE_MILLIS = 3;
    private static final long FIRST_VERSION = 1;
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long READY_POLL_MILLIS = 20;
    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;
    private static final String CONFIG =
            """
            services:
              model-servers: {kind: engine}
              queue-app: {kind: plain}
            classes:
              slot-lookup:
                service: model-servers
                kind: interactive
                lateness: {quantile: 0.99, within: 400ms}
              billing-sync:
                service: queue-app
                kind: background
                lateness: {quantile: 0.95, within: 2s}
                idempotent: false
              pad-order:
                service: model-servers
                kind: rollout
                staleness: 2 versions
                trainer_idle: 3s
                scored_by: queue-app
            """;

    private final AsyncHttpClient mHttpClient;
    private final StandinPlatform mPlatform;
    private final LoopbackSettings mSettings;
    private final List<StandinEngine> mEngines = new ArrayList<>();
    private final List<StandinService> mServices = new ArrayList<>();
    private final List<AgentNode> mAgents = new ArrayList<>();
    private final List<EntryNode> mEntries = new ArrayList<>();
    private final AtomicInteger mNextEntry = new AtomicInteger();

    private DemoFleet() throws IOException {
        mHttpClient = AsyncHttpClient.start();
        mPlatform = StandinPlatform.start(HOST, 0);
        mSettings = new LoopbackSettings(mPlatform.address(), ENTRIES_PER_ENDPOINT);
        mPlatform.publish(MODEL_SERVICE, FIRST_VERSION);
        for (int i = 0; i < ENGINES; i++) {
            startEngine(i);
        }
        for (int i = 0; i < SERVICES; i++) {
            startService(i);
        }
        for (int i = 0; i < ENTRIES; i++) {
            startEntry(i);
        }
    }

    /** Starts all components and waits until each entry is ready and can use every endpoint. */
    static DemoFleet start() throws IOException, InterruptedException {
        DemoFleet fleet = new DemoFleet();
        fleet.applyConfig();
        fleet.awaitReady();
        return fleet;
    }

    static long firstVersion() {
        return FIRST_VERSION;
    }

    AsyncHttpClient httpClient() {
        return mHttpClient;
    }

    StandinPlatform platform() {
        return mPlatform;
    }

    List<StandinEngine> engines() {
        return mEngines;
    }

    List<StandinService> services() {
        return mServices;
    }

    /** Returns the address of the next entry, in round-robin order like a load balancer's. */
    URI nextEntry() {
        int index = Math.floorMod(mNextEntry.getAndIncrement(), mEntries.size());
        return address(mEntries.get(index));
    }

    /** Crashes one engine; its agent keeps running. */
    void crashEngine(int index) {
        mEngines.get(index).close();
    }

    @Override
    public void close() {
        mEntries.forEach(EntryNode::close);
        mAgents.forEach(AgentNode::close);
        mEngines.forEach(StandinEngine::close);
        mServices.forEach(StandinService::close);
        mPlatform.close();
        mHttpClient.close();
    }

    private void startEngine(int index) throws IOException {
        EngineSettings settings =
                new EngineSettings(
                        "engine" + index,
                        SLOTS_PER_ENGINE,
                        TOKENS_PER_CHUNK,
                        CHUNK_MILLIS,
                        SWAP_MILLIS,
                        index % 2 == 0);
        StandinEngine engine = StandinEngine.start(settings, HOST, 0, FIRST_VERSION);
        mEngines.add(engine);
        startAgent("sampler-" + index, domain(index), MODEL_SERVICE, engine.address(), true);
    }

    private void startService(int index) throws IOException {
        StandinService service = StandinService.start("service" + index, HOST, 0, SERVICE_MILLIS);
        mServices.add(service);
        startAgent("queue-" + index, domain(index + 1), QUEUE_SERVICE, service.address(), false);
    }

    private void startAgent(
            String vm, FailureDomain domain, String service, URI endpoint, boolean engine)
            throws IOException {
        DaemonSettings settings = mSettings.agent(vm, domain, service, endpoint, engine);
        AgentNode agent = AgentNode.start(settings);
        mAgents.add(agent);
        mPlatform.putVm(
                new VmRecord(
                        VmId.of(vm),
                        VmRecord.ROLE_ENDPOINT,
                        service,
                        domain,
                        HOST,
                        agent.linkPort(),
                        false));
    }

    private void startEntry(int index) throws IOException {
        String vm = "entry-" + index;
        EntryNode entry = EntryNode.start(mSettings.entry(vm, domain(index)));
        mEntries.add(entry);
        mPlatform.putVm(
                new VmRecord(
                        VmId.of(vm),
                        VmRecord.ROLE_ENTRY,
                        "",
                        domain(index),
                        HOST,
                        entry.linkPort(),
                        false));
    }

    private void applyConfig() {
        URI uri = URI.create(nextEntry() + "/admin/config?author=demo&expect=0");
        HttpRequest request =
                HttpRequest.json(
                        "PUT",
                        uri,
                        CONFIG.getBytes(StandardCharsets.UTF_8),
                        REQUEST_TIMEOUT_MILLIS);
        HttpResponse response = mHttpClient.request(request, "demo.config").join().orThrow();
        if (!response.isSuccess()) {
            throw new IllegalStateException("configuration refused: " + response.text());
        }
    }

    private void awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (!mEntries.stream().allMatch(this::isReady)) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(
                        "an entry is not ready or cannot use every endpoint");
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    private boolean isReady(EntryNode entry) {
        URI uri = URI.create(address(entry) + "/admin/dump");
        Result<HttpResponse> dump =
                mHttpClient
                        .request(HttpRequest.of("GET", uri, REQUEST_TIMEOUT_MILLIS), "demo.dump")
                        .join();
        String usableMarker = "\"usable\":true,\"free\"";
        int usableEndpoints =
                dump.fold(HttpResponse::text, Object::toString).split(usableMarker, -1).length - 1;
        return entry.isReady() && usableEndpoints == ENGINES + SERVICES;
    }

    private static URI address(EntryNode entry) {
        return URI.create("http://" + HOST + ":" + entry.httpPort());
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("hall-" + (char) ('a' + index % DOMAINS));
    }
}
