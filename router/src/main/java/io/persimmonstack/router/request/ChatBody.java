package io.persimmonstack.router.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.persimmonstack.coordination.hash.RendezvousHash;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Parsed JSON body of a chat completion request. Not thread-safe. */
public final class ChatBody {
    /** Number of characters of the message contents that {@link #prefixHash()} covers. */
    private static final int PREFIX_CHARACTERS = 256;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final JsonMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .recyclerPool(JsonRecyclerPools.sharedConcurrentDequePool())
                    .build())
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final ObjectNode root;
    private final ModelName model;
    private final boolean stream;

    private ChatBody(ObjectNode root, ModelName model, boolean stream) {
        this.root = root;
        this.model = model;
        this.stream = stream;
    }

    /**
     * Parses and checks the body of a chat completion request.
     *
     * @param body JSON in UTF-8
     * @return the parsed body
     * @throws RefusalException if the body is not a JSON object or one of {@code model}, {@code messages} and
     *     {@code stream} is not of the expected form
     */
    public static ChatBody parse(byte[] body) throws RefusalException {
        JsonNode tree = readTree(body);
        if (!(tree instanceof ObjectNode root)) {
            throw malformed("body", "expected a JSON object");
        }
        JsonNode name = root.path("model");
        if (!name.isTextual()) {
            throw malformed("model " + nodeType(name), "expected text such as model@version+adapter");
        }
        ModelName model = ModelName.parse(name.textValue())
                .orElseThrow(
                        () -> malformed("model " + name, "expected model, model@version or model@version+adapter"));
        if (!root.path("messages").isArray()) {
            throw malformed("messages " + nodeType(root.path("messages")), "expected a list");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw malformed("stream " + stream, "expected true or false");
        }
        return new ChatBody(root, model, stream.asBoolean(false));
    }

    private static JsonNode readTree(byte[] body) throws RefusalException {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw malformed("body", "expected JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("body", "expected JSON in UTF-8");
        }
    }

    private static String nodeType(JsonNode node) {
        return node.isMissingNode() ? "missing" : node.getNodeType().toString().toLowerCase(java.util.Locale.ROOT);
    }

    private static RefusalException malformed(String what, String expected) {
        return Refusal.notRun(RefusalCode.MALFORMED, what + "; " + expected).exception();
    }

    /** Returns the model name that the caller sent. */
    public ModelName model() {
        return model;
    }

    /** Returns whether the caller requested a streamed answer. */
    public boolean stream() {
        return stream;
    }

    /**
     * Replaces the model name and returns the body to send to an engine.
     *
     * @param resolvedModel {@code model@version}, followed by {@code +adapter} if an adapter is used
     * @return JSON in UTF-8
     */
    public byte[] withModel(String resolvedModel) {
        root.put("model", resolvedModel);
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a parsed JSON tree can always be written", e);
        }
    }

    /**
     * Returns an identifier of each message but the last, in order; equal messages have equal ones. Other requests may
     * have these messages, too, while the last one is their own.
     */
    public List<String> promptParts() {
        List<String> parts = new ArrayList<>();
        root.path("messages").forEach(message -> parts.add(Long.toHexString(RendezvousHash.hash(message.toString()))));
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns a hash of the first characters of the message contents. Prompts with the same start have the same hash,
     * so that they can be sent to the same target.
     */
    public long prefixHash() {
        long hash = FNV_OFFSET;
        int remaining = PREFIX_CHARACTERS;
        for (JsonNode message : root.path("messages")) {
            String content = message.path("content").isTextual()
                    ? message.path("content").textValue()
                    : message.path("content").toString();
            int count = Math.min(remaining, content.length());
            for (int i = 0; i < count; i++) {
                hash = (hash ^ content.charAt(i)) * FNV_PRIME;
            }
            remaining -= count;
            if (remaining == 0) {
                break;
            }
        }
        return hash;
    }
}
