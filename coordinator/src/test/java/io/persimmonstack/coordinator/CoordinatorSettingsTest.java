package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.runtime.settings.SettingsException;
import io.persimmonstack.runtime.settings.SettingsReader;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class CoordinatorSettingsTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "settings", "coordinator.json");

    @Test
    void readsExampleSettings() throws Exception {
        CoordinatorSettings settings = SettingsReader.read(EXAMPLE, CoordinatorSettings.class);
        assertEquals("entry-1", settings.node());
        assertEquals(2, settings.seeds().size());
    }

    @Test
    void errorNamesTheSettingWithAnInvalidAddress() {
        SettingsException e = assertThrows(
                SettingsException.class,
                () -> SettingsReader.parse(
                        "{\"node\":\"a\",\"zone\":\"z\",\"region\":\"r\",\"address\":\"localhost\"}",
                        "coordinator.json",
                        CoordinatorSettings.class));
        assertTrue(e.getMessage().contains("address"), e.getMessage());
        assertTrue(e.getMessage().contains("IP number and port"), e.getMessage());
    }
}
