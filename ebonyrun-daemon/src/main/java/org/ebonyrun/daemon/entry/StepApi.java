package org.ebonyrun.daemon.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.rollout.Sample;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.ports.http.Responder;
import org.glassfish.grizzly.http.server.Request;
import org.jspecify.annotations.Nullable;

/**
 * HTTP interface to steps for trainers: {@code PUT}, {@code DELETE} and {@code POST .../pull} of
 * {@code /v1/trainers/{trainer}/steps/{step}}. Thread safe.
 */
final class StepApi {
    static final String PREFIX = "/v1/trainers/";

    private static final String FAULT_STEP = "http.step";
    private static final int MAX_SUBMIT_BYTES = 32 << 20;
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final int MAX_PULL_SAMPLES = 4_096;
    private static final int STEP_PATH_PARTS = 3;

    private final EntryContext mContext;

    StepApi(EntryContext context) {
        mContext = context;
    }

    /** The body of a request that submits a step. */
    private record SubmitBody(
            @JsonProperty("class") String className,
            @JsonProperty("version") long version,
            @JsonProperty("groups") List<PromptGroup> groups) {}

    /** The body of a request that pulls samples. */
    private record PullBody(
            @JsonProperty("cursor") @Nullable String cursor,
            @JsonProperty("version") long version,
            @JsonProperty("max") int max,
            @JsonProperty("wait_ms") long waitMillis) {}

    /** The trainer, step and action that a request's path names. */
    private record Target(TrainerId trainer, long step, String action) {}

    void handle(Request request, Responder out) {
        if (mContext.mDraining) {
            FaultResponses.send(out, notRunFault(FaultCode.DRAINING, "the entry is shutting down"));
            return;
        }
        Target target;
        try {
            target = parseTarget(request.getRequestURI());
        } catch (IllegalArgumentException e) {
            FaultResponses.send(
                    out, notRunFault(FaultCode.NOT_FOUND, String.valueOf(e.getMessage())));
            return;
        }
        RequestBodies.read(
                mContext.mTimer,
                request,
                MAX_SUBMIT_BYTES,
                result ->
                        result.fold(
                                body -> {
                                    handleBody(
                                            request.getMethod().getMethodString(),
                                            target,
                                            body,
                                            out);
                                    return true;
                                },
                                fault -> {
                                    FaultResponses.send(out, fault);
                                    return false;
                                }));
    }

    private void handleBody(String method, Target target, byte[] body, Responder out) {
        StepRequest request;
        try {
            request = parseRequest(method, target, body);
        } catch (IllegalArgumentException e) {
            FaultResponses.send(
                    out, notRunFault(FaultCode.BAD_REQUEST, String.valueOf(e.getMessage())));
            return;
        }
        long wait = request instanceof StepRequest.Pull pull ? pull.waitMillis() : 0;
        mContext.mPendingStepRequests.begin(request, wait, reply -> sendReply(request, reply, out));
    }

    private static StepRequest parseRequest(String method, Target target, byte[] body) {
        if (method.equals("PUT") && target.action().isEmpty()) {
            SubmitBody submit = Json.read(body, SubmitBody.class);
            if (submit.className() == null) {
                throw new IllegalArgumentException("class is missing");
            }
            return new StepRequest.Submit(
                    new StepManifest(
                            target.trainer(),
                            target.step(),
                            ClassName.of(submit.className()),
                            submit.version(),
                            submit.groups()));
        }
        if (method.equals("POST") && target.action().equals("pull")) {
            PullBody pull = Json.read(body, PullBody.class);
            return new StepRequest.Pull(
                    target.trainer(),
                    target.step(),
                    pull.cursor() == null ? "" : pull.cursor(),
                    pull.version(),
                    Math.max(
                            1,
                            Math.min(
                                    MAX_PULL_SAMPLES,
                                    pull.max() == 0 ? MAX_PULL_SAMPLES : pull.max())),
                    Math.max(0, Math.min(MAX_WAIT_MILLIS, pull.waitMillis())));
        }
        if (method.equals("DELETE") && target.action().isEmpty()) {
            return new StepRequest.Cancel(target.trainer(), target.step());
        }
        throw new IllegalArgumentException("no such operation: " + method + " " + target.action());
    }

    private static Target parseTarget(String uri) {
        String[] parts = uri.substring(PREFIX.length()).split("/");
        boolean isStepPath = parts.length >= STEP_PATH_PARTS && parts[1].equals("steps");
        if (!isStepPath || parts.length > STEP_PATH_PARTS + 1) {
            throw new IllegalArgumentException("no such path: " + uri);
        }
        String action = parts.length > STEP_PATH_PARTS ? parts[STEP_PATH_PARTS] : "";
        long step = Long.parseLong(parts[2]);
        if (step < 0) {
            throw new IllegalArgumentException("a step is not negative: " + step);
        }
        return new Target(TrainerId.of(parts[0]), step, action);
    }

    private static void sendReply(StepRequest request, StepReply reply, Responder out) {
        Fault fault = reply.fault();
        if (fault != null) {
            FaultResponses.send(out, fault);
            return;
        }
        Map<String, Object> body = new LinkedHashMap<>();
        if (request instanceof StepRequest.Pull) {
            List<Sample> samples = new ArrayList<>(reply.samples());
            body.put("samples", samples);
            body.put("cursor", reply.cursor());
            body.put("remaining", reply.remaining());
            body.put("complete", reply.complete());
        } else {
            body.put("accepted", true);
        }
        out.sendComplete(200, FaultResponses.JSON_CONTENT_TYPE, Json.write(body));
    }

    private static Fault notRunFault(FaultCode code, String detail) {
        return Fault.notRun(code, FAULT_STEP, "", detail);
    }
}
