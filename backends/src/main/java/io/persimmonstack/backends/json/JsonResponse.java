package io.persimmonstack.backends.json;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Answer with its whole body. */
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

    /** Returns the entity tag, by which a later request can ask for the resource only if it has changed. */
    public Optional<String> entityTag() {
        return entityTag;
    }

    /** Returns the status code. */
    public int status() {
        return status;
    }

    /**
     * Binds the body to a record.
     *
     * @param type record to bind to
     * @param <T> type of the record
     * @return the record, or empty where the body is no such object
     */
    public <T extends Record> Optional<T> bind(Class<T> type) {
        return bind(body, type);
    }

    /**
     * Binds JSON to a record.
     *
     * @param json text in UTF-8
     * @param type record to bind to
     * @param <T> type of the record
     * @return the record, or empty where the text is no such object
     */
    public static <T extends Record> Optional<T> bind(byte[] json, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes a record as JSON.
     *
     * @param value record to write
     * @return text in UTF-8
     */
    public static byte[] write(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalArgumentException("value " + value + ": expected a record that JSON can express", e);
        }
    }

    /** Returns status and beginning of the body, for messages. */
    @Override
    public String toString() {
        String text = new String(body, 0, Math.min(body.length, MAX_MESSAGE_CHARS), StandardCharsets.UTF_8);
        return status + " " + text;
    }
}
