package org.ebonyrun.bench;

import java.util.concurrent.TimeUnit;
import org.ebonyrun.base.id.AttemptId;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.base.wire.MessageCodec;
import org.ebonyrun.core.attempt.AttemptMessage;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.Job;
import org.ebonyrun.core.attempt.WorkKind;
import org.ebonyrun.core.membership.MembershipMessage;
import org.ebonyrun.daemon.link.WireTypes;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Time to encode and decode frames, in microseconds. Each thread has its own state. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class CodecBench {
    private static final int BODY_BYTES = 2_048;
    private static final EndpointLoad LOAD = new EndpointLoad(8, 2, 1, 3, 9, false, false, 0);

    private final MessageCodec mCodec = WireTypes.codec();
    private final Message mOffer =
            new AttemptMessage.Offer(
                    new AttemptId(-5, 7),
                    new Job(
                            WorkKind.CALL,
                            ClassName.of("lookup"),
                            0.99,
                            800,
                            5_000,
                            true,
                            "/v1/completions",
                            "application/json",
                            new byte[BODY_BYTES],
                            0,
                            null,
                            0));
    private final Message mHeartbeat = new MembershipMessage.Heartbeat(3, LOAD);
    private final byte[] mOfferFrame = mCodec.encode(mOffer);
    private final byte[] mHeartbeatFrame = mCodec.encode(mHeartbeat);

    /** Encodes an offer with a body of 2 KiB. */
    @Benchmark
    public byte[] encodeOffer() {
        return mCodec.encode(mOffer);
    }

    /** Decodes an offer with a body of 2 KiB. */
    @Benchmark
    public Result<Message> decodeOffer() {
        return mCodec.decode(mOfferFrame, "peer");
    }

    /** Encodes a heartbeat with a load report. */
    @Benchmark
    public byte[] encodeHeartbeat() {
        return mCodec.encode(mHeartbeat);
    }

    /** Decodes a heartbeat with a load report. */
    @Benchmark
    public Result<Message> decodeHeartbeat() {
        return mCodec.decode(mHeartbeatFrame, "peer");
    }
}
