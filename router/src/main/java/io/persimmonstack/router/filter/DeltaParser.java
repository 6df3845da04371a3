package io.persimmonstack.router.filter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import java.io.IOException;

/** Streaming parser for one chunk of a streamed chat completion; extracts what the relay needs without a JSON tree. */
final class DeltaParser {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .recyclerPool(JsonRecyclerPools.sharedConcurrentDequePool())
            .build();
    private boolean hasContent;
    private boolean hasFinishReason;

    private DeltaParser() {}

    /**
     * Parses a chunk. Only its first choice is read.
     *
     * @param data buffer that starts with the JSON document in UTF-8
     * @param length length of the document in bytes
     * @return the parsed chunk
     * @throws IOException if the document is not valid JSON
     */
    static DeltaParser parse(byte[] data, int length) throws IOException {
        DeltaParser result = new DeltaParser();
        try (JsonParser parser = FACTORY.createParser(data, 0, length)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                result.parseDocument(parser);
            } else {
                parser.skipChildren();
            }
        }
        return result;
    }

    /** Returns whether the chunk contains text of the answer. */
    boolean hasContent() {
        return hasContent;
    }

    /** Returns whether the chunk gives the reason why the answer is complete. */
    boolean hasFinishReason() {
        return hasFinishReason;
    }

    private void parseDocument(JsonParser parser) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean isChoices = parser.currentName().equals("choices");
            if (parser.nextToken() == JsonToken.START_ARRAY && isChoices) {
                parseChoices(parser);
            } else {
                parser.skipChildren();
            }
        }
    }

    private void parseChoices(JsonParser parser) throws IOException {
        JsonToken firstElement = parser.nextToken();
        if (firstElement == JsonToken.END_ARRAY) {
            return;
        }
        if (firstElement == JsonToken.START_OBJECT) {
            parseChoice(parser);
        } else {
            parser.skipChildren();
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            parser.skipChildren();
        }
    }

    private void parseChoice(JsonParser parser) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("delta") && value == JsonToken.START_OBJECT) {
                parseDelta(parser);
                continue;
            }
            if (name.equals("finish_reason")) {
                hasFinishReason = value != JsonToken.VALUE_NULL;
            }
            parser.skipChildren();
        }
    }

    private void parseDelta(JsonParser parser) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("content")) {
                hasContent = value == JsonToken.VALUE_STRING
                        ? parser.getTextLength() > 0
                        : value.isScalarValue() && value != JsonToken.VALUE_NULL;
            }
            parser.skipChildren();
        }
    }
}
