package org.ebonyrun.base.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's streaming API.
 *
 * <p>Stateless and thread safe. An {@code ObjectMapper} is not used because its initialization
 * takes a large part of the time that a restarted process needs until it is ready.
 */
public final class JsonTrees {
    // Trees are read recursively, on threads with a stack of 256 KiB.
    private static final int MAX_DEPTH = 64;
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Returns a new, empty JSON object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses UTF-8 text that consists of one JSON value.
     *
     * @throws IllegalArgumentException if the text is not exactly one JSON value, or is nested too
     *     deeply
     */
    public static JsonNode read(byte[] text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new IllegalArgumentException("not JSON: the text is empty");
            }
            JsonNode value = readValue(parser, first);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("not JSON: text follows the value");
            }
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON: " + e.getClass().getSimpleName(), e);
        }
    }

    /**
     * Returns a parser of UTF-8 text, for values that are too large for a tree.
     *
     * @throws IOException if the text is not JSON
     */
    public static JsonParser parser(byte[] text) throws IOException {
        return FACTORY.createParser(text);
    }

    private static JsonNode readValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IllegalArgumentException("not JSON: unexpected " + token);
        };
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            object.set(name, readValue(parser, parser.nextToken()));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken();
                token != JsonToken.END_ARRAY;
                token = parser.nextToken()) {
            array.add(readValue(parser, token));
        }
        return array;
    }

    /** Returns a tree as UTF-8 JSON text. */
    public static byte[] write(JsonNode tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(tree, generator);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot write a JSON tree of type " + tree.getNodeType(), e);
        }
        return out.toByteArray();
    }

    private static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
                    Map.Entry<String, JsonNode> field = it.next();
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : node) {
                    write(element, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            case NUMBER -> generator.writeNumber(node.asText());
            default -> generator.writeNull();
        }
    }
}
