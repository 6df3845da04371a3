package io.persimmonstack.runtime.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * Reads settings from JSON into a record. Comments and trailing commas are allowed, duplicate keys are not.
 *
 * <pre>{@code
 * RouterSettings settings = SettingsReader.read(Path.of("router.json"), RouterSettings.class);
 * }</pre>
 */
public final class SettingsReader {
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private SettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file path of the file, UTF-8 and at most 1 MiB
     * @param type record class to bind
     * @param <S> type of the record
     * @return the settings
     * @throws SettingsException if the file cannot be read or its content is invalid
     */
    public static <S extends Record> S read(Path file, Class<S> type) throws SettingsException {
        return parse(readFile(file), file.toString(), type);
    }

    /**
     * Parses settings from text.
     *
     * @param text JSON with comments
     * @param source name of the source, for error messages
     * @param type record class to bind
     * @param <S> type of the record
     * @return the settings
     * @throws SettingsException if the text is not valid JSON, or a key or value is invalid
     */
    public static <S extends Record> S parse(String text, String source, Class<S> type) throws SettingsException {
        try {
            JsonNode root = MAPPER.readTree(text);
            return RecordBinder.from(source).bind(root, type);
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? source
                    : source + ":" + e.getLocation().getLineNr() + ":"
                            + e.getLocation().getColumnNr();
            throw new SettingsException(location + ": not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static String readFile(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(
                        file + ": " + Files.size(file) + " bytes; expected at most " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": no such file; expected settings in JSON", e);
        } catch (CharacterCodingException e) {
            throw new SettingsException(file + ": not valid UTF-8", e);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read: " + e.getMessage(), e);
        }
    }
}
