package io.persimmonstack.router.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads the body of a chat completion request in one pass; keeps places and hashes, no values but the model's name. */
final class ChatBodyReader {
    /** Messages from the start of a prompt that have identifiers; engines that end are blamed on far fewer. */
    static final int MAX_PARTS = 64;
    /** Longest name of a model with its version and adapter, in bytes of JSON. */
    private static final int MAX_MODEL_BYTES = 1_024;
    /** Bytes of the message contents that the hash of the prefix covers. */
    private static final int PREFIX_BYTES = 256;

    private final byte[] body;
    private final JsonParser parser;
    private Optional<JsonSpan> modelText = Optional.empty();
    private Optional<ModelName> model = Optional.empty();
    private boolean hasMessages;
    private Optional<Boolean> stream = Optional.empty();
    private final List<String> parts = new ArrayList<>();
    private int messages;
    private long prefixHash = JsonSpan.emptyHash();
    private int prefixLeft = PREFIX_BYTES;

    private ChatBodyReader(byte[] body, JsonParser parser) {
        this.body = body;
        this.parser = parser;
    }

    /** Reads a body; see {@link ChatBody#parse}. */
    static ChatBody read(byte[] body) throws RefusalException {
        try (JsonParser parser = newFactory().createParser(body)) {
            return new ChatBodyReader(body, parser).read();
        } catch (JsonProcessingException e) {
            throw malformed("body", "expected JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("body", "expected JSON in UTF-8");
        }
    }

    /** Returns a factory for one body: a factory keeps the names of fields, which callers choose, for later bodies. */
    private static JsonFactory newFactory() {
        return JsonFactory.builder()
                .recyclerPool(JsonRecyclerPools.sharedConcurrentDequePool())
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .build();
    }

    private ChatBody read() throws IOException, RefusalException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw malformed("body", "expected a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "model" -> readModel();
                case "messages" -> readMessages();
                case "stream" -> readStream();
                default -> parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw malformed("body", "expected nothing behind the JSON object");
        }
        if (model.isEmpty()) {
            throw malformed("model missing", "expected text such as model@version+adapter");
        }
        if (!hasMessages) {
            throw malformed("messages missing", "expected a list");
        }
        return new ChatBody(
                body,
                modelText.orElseThrow(),
                model.get(),
                stream.orElse(false),
                prefixHash,
                parts.subList(0, Math.min(parts.size(), Math.max(0, messages - 1))));
    }

    private void readModel() throws IOException, RefusalException {
        refuseSecond("model", model.isPresent());
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw malformed("model " + tokenType(), "expected text such as model@version+adapter");
        }
        JsonSpan span = stringSpan();
        if (span.length() > MAX_MODEL_BYTES) {
            throw malformed("model of " + span.length() + " bytes", "expected at most " + MAX_MODEL_BYTES);
        }
        String text = parser.getText();
        modelText = Optional.of(span);
        model = Optional.of(ModelName.parse(text)
                .orElseThrow(() ->
                        malformed("model \"" + text + "\"", "expected model, model@version or model@version+adapter")));
    }

    private void readStream() throws RefusalException {
        refuseSecond("stream", stream.isPresent());
        JsonToken token = parser.currentToken();
        if (token != JsonToken.VALUE_NULL && !token.isBoolean()) {
            throw malformed("stream " + tokenType(), "expected true or false");
        }
        stream = Optional.of(token == JsonToken.VALUE_TRUE);
    }

    private void readMessages() throws IOException, RefusalException {
        refuseSecond("messages", hasMessages);
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw malformed("messages " + tokenType(), "expected a list");
        }
        hasMessages = true;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            messages++;
            readMessage();
        }
    }

    private void readMessage() throws IOException, RefusalException {
        int start = tokenStart();
        if (parser.currentToken() == JsonToken.START_OBJECT && prefixLeft > 0) {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isContent = parser.currentName().equals("content");
                parser.nextToken();
                JsonSpan value = valueSpan();
                if (isContent) {
                    addToPrefix(value);
                }
            }
        }
        int end = valueSpan().end();
        if (parts.size() < MAX_PARTS) {
            parts.add(Long.toHexString(new JsonSpan(start, end).hash(body)));
        }
    }

    private void addToPrefix(JsonSpan content) {
        prefixHash = content.hashOnward(body, prefixHash, prefixLeft);
        prefixLeft -= Math.min(prefixLeft, content.length());
    }

    /** Returns the place of the current value, which is read to its end; at its end, that of its last token. */
    private JsonSpan valueSpan() throws IOException, RefusalException {
        int start = tokenStart();
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            return stringSpan();
        }
        parser.skipChildren();
        parser.finishToken();
        return new JsonSpan(start, offset(parser.currentLocation().getByteOffset()));
    }

    /** Returns the place of the current string with its quotes, without decoding it. */
    private JsonSpan stringSpan() throws RefusalException {
        int start = tokenStart();
        int at = start + 1;
        while (at < body.length && body[at] != '"') {
            at += body[at] == '\\' ? 2 : 1;
        }
        return new JsonSpan(start, Math.min(at + 1, body.length));
    }

    private int tokenStart() throws RefusalException {
        return offset(parser.currentTokenLocation().getByteOffset());
    }

    /** Returns an offset in the body; the parser knows none in encodings other than UTF-8. */
    private int offset(long bytes) throws RefusalException {
        if (bytes < 0 || bytes > body.length) {
            throw malformed("body", "expected JSON in UTF-8");
        }
        return (int) bytes;
    }

    private static void refuseSecond(String field, boolean known) throws RefusalException {
        if (known) {
            throw malformed(field + " twice", "expected it once");
        }
    }

    private String tokenType() {
        return switch (parser.currentToken()) {
            case START_OBJECT -> "object";
            case START_ARRAY -> "array";
            case VALUE_STRING -> "string";
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> "number";
            case VALUE_TRUE, VALUE_FALSE -> "boolean";
            default -> "null";
        };
    }

    private static RefusalException malformed(String what, String expected) {
        return Refusal.notRun(RefusalCode.MALFORMED, what + "; " + expected).exception();
    }
}
