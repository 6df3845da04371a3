package io.persimmonstack.router.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes refusals as problem documents ({@code application/problem+json}). */
public final class ProblemDocument {
    /** Media type of a problem document. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:persimmonstack:refusal:";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemDocument() {}

    /**
     * Encodes a refusal.
     *
     * @param refusal refusal to encode
     * @return JSON in UTF-8
     */
    public static byte[] encode(Refusal refusal) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("type", TYPE_PREFIX + refusal.code().code());
        document.put("title", refusal.code().title());
        document.put("status", refusal.code().status());
        document.put("detail", refusal.detail());
        document.put("code", refusal.code().code());
        document.put("ran", refusal.ran().text());
        refusal.retryAfterMs().ifPresent(ms -> document.put("retryAfterMs", ms));
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a refusal can always be written as JSON", e);
        }
    }
}
