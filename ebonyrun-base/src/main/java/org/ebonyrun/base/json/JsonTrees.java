package org.ebonyrun.base.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes JSON trees by Jackson's streams alone.
 *
 * <p>Stateless and thread safe. An object mapper would do the same, but what it loads and prepares
 * takes a restarted process a large part of the time until it is ready.
 */
public final class JsonTrees {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Returns a new object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Reads one value.
     *
     * @throws IllegalArgumentException if the text is not one JSON value
     */
    public static JsonNode read(byte[] text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new IllegalArgumentException("not JSON: the text is empty");
            }
            JsonNode value = value(parser, first);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("not JSON: text follows the value");
            }
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON: " + e.getClass().getSimpleName(), e);
        }
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IllegalArgumentException("not JSON: unexpected " + token);
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            object.set(name, value(parser, parser.nextToken()));
        }
        return object;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken();
                token != JsonToken.END_ARRAY;
                token = parser.nextToken()) {
            array.add(value(parser, token));
        }
        return array;
    }

    /** Returns the UTF-8 text of a tree. */
    public static byte[] write(JsonNode tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(tree, generator);
        } catch (IOException e) {
            throw new IllegalArgumentException("tree of " + tree.getNodeType(), e);
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
