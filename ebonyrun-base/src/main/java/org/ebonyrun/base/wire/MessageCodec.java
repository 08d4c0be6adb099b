package org.ebonyrun.base.wire;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import java.util.Collection;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;
import org.ebonyrun.base.result.Result;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as MessagePack maps that carry the message's type name.
 *
 * <p>Immutable and thread safe. Only the types given at creation can be decoded, so a peer cannot
 * make this process instantiate other classes. Unknown fields are ignored, so that newer peers can
 * add fields.
 */
public final class MessageCodec {
    /** Adds the type name to every encoded message. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@")
    private interface Typed {}

    private final ObjectReader mReader;
    private final ObjectWriter mWriter;

    private MessageCodec(Collection<Class<? extends Message>> types) {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.addMixIn(Message.class, Typed.class);
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);
        for (Class<? extends Message> type : types) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        mReader = mapper.readerFor(Message.class);
        mWriter = mapper.writerFor(Message.class);
    }

    /** Creates a codec for the given record types. */
    public static MessageCodec of(Collection<Class<? extends Message>> types) {
        return new MessageCodec(types);
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if the message cannot be encoded
     */
    public byte[] encode(Message message) {
        try {
            return mWriter.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode message of " + message.getClass(), e);
        }
    }

    /** Decodes a message; returns a fault, and never throws, for malformed input. */
    public Result<Message> decode(byte[] frame, String peer) {
        try {
            Message message = mReader.readValue(frame);
            return message == null ? malformed(peer, "empty frame") : Result.ok(message);
        } catch (IOException | RuntimeException e) {
            return malformed(peer, String.valueOf(e.getMessage()));
        }
    }

    private static Result<Message> malformed(String peer, String detail) {
        return Result.err(Fault.notRun(FaultCode.BAD_REQUEST, "wire.decode", peer, detail));
    }
}
