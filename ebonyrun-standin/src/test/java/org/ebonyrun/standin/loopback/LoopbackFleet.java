package org.ebonyrun.standin.loopback;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.daemon.agent.AgentNode;
import org.ebonyrun.daemon.entry.EntryNode;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpRequest;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.vm.VmRecord;
import org.ebonyrun.standin.engine.EngineSettings;
import org.ebonyrun.standin.engine.StandinEngine;
import org.ebonyrun.standin.platform.StandinPlatform;

/** One entry, two engines with their agents, and a stand-in of the platform, on loopback. */
final class LoopbackFleet implements AutoCloseable {
    static final String HOST = LoopbackSettings.HOST;

    private static final FailureDomain DOMAIN = FailureDomain.of("hall-a");

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final String CONFIG =
            """
            services: {models: {kind: engine}}
            classes:
              lookup:
                service: models
                kind: interactive
                lateness: {quantile: 0.99, within: 5s}
              rollout: {service: models, kind: rollout, staleness: 2 versions, trainer_idle: 5s}
            """;

    final AsyncHttpClient mHttpClient = AsyncHttpClient.start();
    final StandinPlatform mPlatform = StandinPlatform.start(HOST, 0);
    final LoopbackSettings mSettings = new LoopbackSettings(mPlatform.address(), 8);
    final StandinEngine[] mEngines = new StandinEngine[2];
    final AgentNode[] mAgents = new AgentNode[2];
    final EntryNode mEntry;

    LoopbackFleet() throws IOException {
        mPlatform.publish("models", 1);
        for (int i = 0; i < mEngines.length; i++) {
            EngineSettings engine = new EngineSettings("engine" + i, 4, 2, 5, 20, true);
            mEngines[i] = StandinEngine.start(engine, HOST, 0, 1);
            startAgent(i);
        }
        mEntry = EntryNode.start(mSettings.entry("entry-1", DOMAIN));
        String query = "/admin/config?author=test&expect=0";
        HttpResponse response = send("PUT", query, Map.of(), CONFIG).orThrow();
        if (!response.isSuccess()) {
            throw new IllegalStateException(response.text());
        }
        awaitUsableEndpoints(2);
    }

    /** Starts the agent of an engine, also to restart it after a crash. */
    void startAgent(int index) throws IOException {
        String vm = "sampler-" + index;
        mAgents[index] =
                AgentNode.start(
                        mSettings.agent(vm, DOMAIN, "models", mEngines[index].address(), true));
        mPlatform.putVm(
                new VmRecord(
                        VmId.of(vm),
                        VmRecord.ROLE_ENDPOINT,
                        "models",
                        DOMAIN,
                        HOST,
                        mAgents[index].linkPort(),
                        false));
    }

    /** Waits until the entry reports the given number of usable endpoints. */
    void awaitUsableEndpoints(int count) {
        String usableMarker = "\"usable\":true,\"free\"";
        int usable = -1;
        while (usable != count) {
            String dump =
                    send("GET", "/admin/dump", Map.of(), "").fold(HttpResponse::text, f -> "");
            usable = dump.split(usableMarker, -1).length - 1;
        }
    }

    URI address() {
        return URI.create("http://" + HOST + ":" + mEntry.httpPort());
    }

    Result<HttpResponse> call(String body) {
        return send("POST", "/v1/calls/lookup", Map.of("Content-Type", "application/json"), body);
    }

    Result<HttpResponse> send(
            String method, String path, Map<String, String> headers, String body) {
        return mHttpClient.request(request(method, path, headers, body), "test").join();
    }

    HttpRequest request(String method, String path, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return HttpRequest.to(method, URI.create(address() + path), headers, bytes, TIMEOUT_MILLIS);
    }

    @Override
    public void close() {
        mEntry.close();
        for (int i = 0; i < mAgents.length; i++) {
            mAgents[i].close();
            mEngines[i].close();
        }
        mPlatform.close();
        mHttpClient.close();
    }
}
