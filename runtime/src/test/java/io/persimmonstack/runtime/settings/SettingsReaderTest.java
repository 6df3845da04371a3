package io.persimmonstack.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.runtime.ExitCode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {
    private static final String VALID = "{\"node\": \"a\", \"address\": \"127.0.0.1:1\", \"kv\": {\"timeoutMs\": 5}}";

    @TempDir
    Path directory;

    enum Mode {
        ON,
        MOSTLY_OFF
    }

    record KvExample(@Setting(min = 1, max = 1_000) int timeoutMs) {}

    record Example(
            String node,
            @Setting(form = "ip:port") String address,
            KvExample kv,

            @Setting(fallback = "[]", form = "ip:port", max = 2)
            List<String> seeds,

            @Setting(fallback = "true") boolean traced,
            @Setting(fallback = "0.5", min = 0, max = 1) double share,
            @Setting(fallback = "\"on\"") Mode mode,
            Optional<String> label) {}

    @Test
    void readsCommentsFallbacksAndAbsentOptionalKeys() throws SettingsException {
        Example settings = SettingsReader.parse("// of node a\n" + VALID + " /* end */", "a.json", Example.class);
        Example expected =
                new Example("a", "127.0.0.1:1", new KvExample(5), List.of(), true, 0.5, Mode.ON, Optional.empty());
        assertEquals(expected, settings);
    }

    @Test
    void eachMalformedFileGivesOneClearError() throws IOException {
        StringBuilder table = new StringBuilder();
        for (Map.Entry<String, byte[]> entry : malformedFiles().entrySet()) {
            Path file = Files.write(directory.resolve("settings.json"), entry.getValue());
            SettingsException error = assertThrows(
                    SettingsException.class, () -> SettingsReader.read(file, Example.class), entry.getKey());
            assertEquals(ExitCode.USAGE, error.exitCode());
            String message = error.getMessage().replace(directory.toString(), "");
            table.append(entry.getKey()).append("\n  ").append(message).append('\n');
        }
        Approvals.verify(table);
    }

    private static Map<String, byte[]> malformedFiles() {
        Map<String, byte[]> files = new LinkedHashMap<>();
        put(files, "empty", "");
        put(files, "cut off", VALID.substring(0, 30));
        put(files, "a list", "[]");
        put(files, "missing key", VALID.replace("\"node\": \"a\", ", ""));
        put(files, "unknown key", VALID.replace("node", "nodes"));
        put(files, "unknown nested key", VALID.replace("timeoutMs", "timeoutMS"));
        put(files, "key twice", VALID.replace("\"kv\"", "\"node\": \"b\", \"kv\""));
        put(files, "number for text", VALID.replace("\"a\"", "7"));
        put(files, "text for an object", VALID.replace("{\"timeoutMs\": 5}", "\"5\""));
        put(files, "text for a number", VALID.replace("5}", "\"5\"}"));
        put(files, "fraction for a whole number", VALID.replace("5}", "5.5}"));
        put(files, "below the bound", VALID.replace("5}", "0}"));
        put(files, "above the bound", VALID.replace("5}", "1001}"));
        put(files, "beyond any integer", VALID.replace("5}", "99999999999}"));
        put(files, "host name for an address", VALID.replace("127.0.0.1:1", "localhost:1"));
        put(files, "no port", VALID.replace("127.0.0.1:1", "127.0.0.1"));
        put(files, "port out of range", VALID.replace("127.0.0.1:1", "127.0.0.1:70000"));
        put(files, "wrong element", VALID.replace("\"kv\"", "\"seeds\": [\"127.0.0.1:1\", 2], \"kv\""));
        put(files, "list too long", VALID.replace("\"kv\"", "\"seeds\": [\"1\", \"2\", \"3\"], \"kv\""));
        put(files, "text for true or false", VALID.replace("\"kv\"", "\"traced\": \"yes\", \"kv\""));
        put(files, "share above one", VALID.replace("\"kv\"", "\"share\": 1.5, \"kv\""));
        put(files, "unknown choice", VALID.replace("\"kv\"", "\"mode\": \"mostly-of\", \"kv\""));
        files.put("Latin-1", VALID.replace("\"a\"", "\"Büro\"").getBytes(StandardCharsets.ISO_8859_1));
        put(files, "huge", VALID + " ".repeat(1 << 20));
        return files;
    }

    private static void put(Map<String, byte[]> files, String name, String text) {
        files.put(name, text.getBytes(StandardCharsets.UTF_8));
    }
}
