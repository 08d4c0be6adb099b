package org.ebonyrun.daemon.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.base.wire.MessageCodec;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.SampleInfo;
import org.ebonyrun.core.attempt.WeightVersions;
import org.ebonyrun.core.config.ConfigMessage;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.core.rollout.PromptGroup;
import org.ebonyrun.core.rollout.RolloutMessage;
import org.ebonyrun.core.rollout.Sample;
import org.ebonyrun.core.rollout.StepManifest;
import org.ebonyrun.core.rollout.StepReply;
import org.ebonyrun.core.rollout.StepRequest;
import org.ebonyrun.core.weights.WeightMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class WireTypesTest {
    private static final MessageCodec CODEC = WireTypes.codec();
    private static final TrainerId TRAINER = TrainerId.of("t");
    private static final AttemptId ID = new AttemptId(-5, 7);
    private static final EndpointLoad LOAD = new EndpointLoad(8, 2, 1, 3, 9, true, false, 0);
    private static final Fault FAULT = Fault.notRun(FaultCode.OVERLOADED, "a", "b", "c");
    private static final WeightVersions VERSIONS = WeightVersions.copyOf(List.of(4L, 3L));
    private static final SampleKey KEY = new SampleKey(TRAINER, 2, 1);
    private static final SampleInfo INFO = new SampleInfo(10, 5, VERSIONS);

    static Stream<Message> messages() {
        StepManifest manifest =
                new StepManifest(
                        TRAINER, 2, ClassName.of("c"), 4, List.of(new PromptGroup("p", 2, 9)));
        Sample sample = new Sample(1, 0, "text", 5, VERSIONS, null);
        return Stream.of(
                new AttemptMessage.CancelAttempt(ID),
                new AttemptMessage.Refused(ID, FAULT, LOAD),
                new AttemptMessage.Done(ID, 2, 200, "t", 5, VERSIONS, LOAD),
                new AttemptMessage.Failed(ID, FAULT, LOAD),
                new AttemptMessage.SampleFinished(ID, KEY, INFO, LOAD),
                new AttemptMessage.FetchSample(KEY),
                new AttemptMessage.SampleContent(KEY, null, null),
                new AttemptMessage.ReleaseSamples(List.of(KEY)),
                new AttemptMessage.HeldQuery(TRAINER, 2, 8),
                new AttemptMessage.HeldSamples(
                        TRAINER,
                        2,
                        List.of(new AttemptMessage.HeldSample(KEY, INFO)),
                        List.of(KEY)),
                new AttemptMessage.CloseStep(TRAINER, 2, 8),
                new ConfigMessage.ConfigUpdate(3, "text"),
                new ConfigMessage.ConfigRequest(2),
                new MembershipMessage.Hello(
                        VmId.of("v"), "entry", "", FailureDomain.of("d"), 5, ""),
                new MembershipMessage.Heartbeat(3, null),
                new MembershipMessage.Heartbeat(3, LOAD),
                new RolloutMessage.Forward(4, new StepRequest.Submit(manifest)),
                new RolloutMessage.Forward(
                        4, new StepRequest.Pull(TRAINER, 2, "cursor", 4, 10, 100)),
                new RolloutMessage.Forwarded(
                        4, new StepReply(null, "cursor", List.of(sample), 1, false)),
                new RolloutMessage.Forwarded(4, StepReply.failed(FAULT)),
                new WeightMessage.LoadOrder(3, 5, "http://10.0.0.1/w"),
                new WeightMessage.LoadResult(3, FAULT));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void roundTripsEachMessageType(Message message) {
        assertThat(CODEC.decode(CODEC.encode(message), "peer").orThrow(), is(message));
    }

    @Test
    void roundTripsBinaryData() {
        AttemptMessage.Piece piece = new AttemptMessage.Piece(ID, 3, new byte[] {0, -1, 5});
        AttemptMessage.Piece read =
                (AttemptMessage.Piece) CODEC.decode(CODEC.encode(piece), "peer").orThrow();
        assertThat(read.data(), is(piece.data()));
        assertThat(CODEC.encode(piece).length, lessThan(100));
    }

    @Property(tries = 100_000, seed = "1")
    void neverThrowsOnArbitraryFrames(@ForAll byte[] frame) {
        CODEC.decode(frame, "peer").fold(message -> 1, fault -> 0);
    }

    @Test
    void neverThrowsOnCorruptedFrames() {
        Random random = new Random(1);
        List<byte[]> frames = messages().map(CODEC::encode).toList();
        for (int i = 0; i < 10_000; i++) {
            byte[] frame = frames.get(random.nextInt(frames.size())).clone();
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
            }
            CODEC.decode(frame, "peer").fold(message -> 1, fault -> 0);
        }
    }
}
