package io.persimmonstack.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Bodies of the engine's protocol. */
final class EngineApiMessages {
    private EngineApiMessages() {}

    record Order(String model, String version, String adapter, long fence, String source) {}

    record OrderRefusal(String code, Long fence) {}

    record OrderStatus(String state) {}

    record ModelBody(
            String model,
            String version,
            String state,
            long memoryBytes,
            List<String> adapters,
            long readyInMs,
            String failure) {}

    record CachedBody(String model, String version, String place) {}

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
            List<CachedBody> cached) {}

    record ChatMessage(String role, JsonNode content) {}

    record ChatRequest(
            String model,
            Boolean stream,
            @JsonProperty("max_tokens") Integer maxTokens,
            List<ChatMessage> messages) {}

    record Message(String role, String content) {}

    record Choice(
            int index,
            Message message,
            Message delta,
            @JsonProperty("finish_reason") String finishReason) {}

    record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}

    record Completion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

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
