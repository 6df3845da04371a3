package io.persimmonstack.backends.json;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Complete HTTP response whose body can be bound to a record. Also converts records to and from JSON. */
public final class JsonResponse {
    private static final int MAX_MESSAGE_CHARS = 200;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private final int status;
    private final byte[] body;
    private final Optional<String> entityTag;

    JsonResponse(int status, byte[] body, Optional<String> entityTag) {
        this.status = status;
        this.body = body;
        this.entityTag = entityTag;
    }

    /**
     * Returns the value of the ETag header, which a conditional request sends to get the body only if it has changed.
     */
    public Optional<String> entityTag() {
        return entityTag;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    /**
     * Parses the body as JSON. Unknown fields are ignored; null in a primitive field and trailing text are errors.
     *
     * @param type record type to bind to
     * @param <T> record type
     * @return the record, or empty if the body is not a JSON object of this type
     */
    public <T extends Record> Optional<T> bind(Class<T> type) {
        return bind(body, type);
    }

    /**
     * Parses JSON. Unknown fields are ignored; null in a primitive field and trailing text are errors.
     *
     * @param json JSON in UTF-8
     * @param type record type to bind to
     * @param <T> record type
     * @return the record, or empty if the text is not a JSON object of this type
     */
    public static <T extends Record> Optional<T> bind(byte[] json, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Serialises a record as JSON.
     *
     * @param value record to serialise
     * @return JSON in UTF-8
     * @throws IllegalArgumentException if the record cannot be serialised
     */
    public static byte[] write(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "value " + value + ": expected a record that can be serialised as JSON", e);
        }
    }

    /** Returns the status and the first characters of the body, for error messages. */
    @Override
    public String toString() {
        String text = new String(body, 0, Math.min(body.length, MAX_MESSAGE_CHARS), StandardCharsets.UTF_8);
        return status + " " + text;
    }
}
