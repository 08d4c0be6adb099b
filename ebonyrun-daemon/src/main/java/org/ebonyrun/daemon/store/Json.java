package org.ebonyrun.daemon.store;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;

/** Converts between JSON text, objects and trees. Stateless and thread safe. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                    .configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true)
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

    private Json() {}

    /** Returns a value as UTF-8 JSON text. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write JSON of " + value.getClass(), e);
        }
    }

    /**
     * Parses a value of the given type.
     *
     * @throws IllegalArgumentException if the text is not valid JSON of such a value
     */
    public static <T> T read(byte[] text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new IllegalArgumentException("the JSON value is null");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /**
     * Parses a tree.
     *
     * @throws IllegalArgumentException if the text is not valid JSON
     */
    public static JsonNode tree(byte[] text) {
        return read(text, JsonNode.class);
    }

    /** Returns the mapper, for code that builds trees. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }
}
