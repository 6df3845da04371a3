package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.runtime.settings.SettingsException;
import io.persimmonstack.runtime.settings.SettingsReader;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The documented example settings of the router. */
class ExampleSettingsTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "settings", "router.json");

    @Test
    void exampleIsValidAndContainsEveryKey() throws Exception {
        RouterSettings settings = SettingsReader.read(EXAMPLE, RouterSettings.class);
        RouterProgram.create().check(settings);
        assertContainsKeys(Files.readString(EXAMPLE), RouterSettings.class);
    }

    private static void assertContainsKeys(String text, Class<?> type) {
        for (RecordComponent key : type.getRecordComponents()) {
            assertTrue(text.contains('"' + key.getName() + '"'), key.getName());
            if (key.getType().isRecord()) {
                assertContainsKeys(text, key.getType());
            }
        }
    }

    @Test
    void exampleShowsTheDefaultValues() throws Exception {
        RouterSettings exampleSettings = SettingsReader.read(EXAMPLE, RouterSettings.class);
        String minimalSettings = """
                {"node":"e1","zone":"cairo-a","region":"cairo","callersAddress":"127.0.0.1:17501",
                 "peerAddress":"127.0.0.1:17601","coordinators":["127.0.0.1:17401", "127.0.0.1:17402"],
                 "kv":{"endpoint":"127.0.0.1:17001"}}""";
        assertEquals(SettingsReader.parse(minimalSettings, "least", RouterSettings.class), exampleSettings);
    }

    @Test
    void callersPortZeroIsRejected() throws Exception {
        String text = Files.readString(EXAMPLE).replace("127.0.0.1:17501", "127.0.0.1:0");
        RouterSettings settings = SettingsReader.parse(text, "test", RouterSettings.class);
        SettingsException e = assertThrows(
                SettingsException.class, () -> RouterProgram.create().check(settings));
        assertEquals("callersAddress: '127.0.0.1:0'; expected a port other than 0", e.getMessage());
    }
}
