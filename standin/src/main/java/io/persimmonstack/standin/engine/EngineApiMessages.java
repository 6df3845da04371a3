package io.persimmonstack.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** JSON request and response bodies of the engine: orders, state and OpenAI chat completions. */
final class EngineApiMessages {
    private EngineApiMessages() {}

    /** Load or unload order; {@code fence} is its fencing token, the adapter is null for a base model. */
    record Order(String model, String version, String adapter, long fence, String source) {}

    /** Refusal of an order; {@code fence} is the highest fencing token seen if the one of the order is stale. */
    record OrderRefusal(String code, Long fence) {}

    /** Response to an accepted order: {@code loading}, {@code loaded} or {@code unloaded}. */
    record OrderStatus(String state) {}

    record ModelBody(
            String model,
            String version,
            String state,
            long memoryBytes,
            List<String> adapters,
            long readyInMs,
            String failure) {}

    /** Checkpoint cached on the host; the place is {@code memory} or {@code disk}. */
    record CachedBody(String model, String version, String place) {}

    /** Response of {@code GET /orders/state}. */
    record EngineStateBody(
            String runner,
            long memoryBytes,
            long usedBytes,
            int maxConcurrent,
            int inFlight,
            int queued,
            boolean fencing,
            long fence,
            boolean leaving,
            List<ModelBody> models,
            List<CachedBody> cached,
            String softwareVersion) {}

    record ChatMessage(String role, JsonNode content) {}

    record ChatRequest(
            String model,
            Boolean stream,
            @JsonProperty("max_tokens") Integer maxTokens,
            List<ChatMessage> messages) {}

    record Message(String role, String content) {}

    /** Choice of a completion; a whole one has a message, a part of a stream has a delta. */
    record Choice(
            int index,
            Message message,
            Message delta,
            @JsonProperty("finish_reason") String finishReason) {}

    record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}

    /** Whole completion or part of a stream; the fingerprint is the version of the software that generated it. */
    record Completion(
            String id,
            String object,
            long created,
            String model,
            @JsonProperty("system_fingerprint") String systemFingerprint,
            List<Choice> choices,
            Usage usage) {}

    record ListedModel(
            String id,
            String object,
            @JsonProperty("owned_by") String ownedBy) {}

    record ModelList(String object, List<ListedModel> data) {}

    record ErrorDetail(String message, String type, String code) {}

    record ErrorBody(ErrorDetail error) {
        static ErrorBody of(String message, String code) {
            return new ErrorBody(new ErrorDetail(message, "invalid_request_error", code));
        }
    }
}
