package io.persimmonstack.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Encodes a configuration as JSON. Unknown fields are ignored, so that older nodes can read newer configurations. */
public final class ConfigurationCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private ConfigurationCodec() {}

    /**
     * Encodes a configuration as JSON.
     *
     * @param configuration configuration to encode
     * @return JSON in UTF-8
     */
    public static byte[] encode(FleetConfiguration configuration) {
        try {
            return MAPPER.writeValueAsBytes(configuration);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the configuration as JSON", e);
        }
    }

    /**
     * Decodes a configuration from JSON.
     *
     * @param bytes JSON in UTF-8
     * @return the configuration
     * @throws ConfigurationException if the bytes are not valid JSON or a required field is missing or null
     */
    public static FleetConfiguration decode(byte[] bytes) throws ConfigurationException {
        try {
            return MAPPER.readValue(bytes, FleetConfiguration.class);
        } catch (IOException e) {
            throw new ConfigurationException("not a configuration: " + e.getMessage(), e);
        }
    }
}
