package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.CoordinatorSettings;
import io.persimmonstack.ctl.CtlSettings;
import io.persimmonstack.ctl.PersimmonCtl;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.RouterSettings;
import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.FrameEvent;
import io.persimmonstack.standin.StandinEvent;
import io.persimmonstack.standin.StandinSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the documentation and the code agree on events, commands, launchers, faults and settings. */
class DocumentationTest {
    private static final Path ROOT = findRoot();
    private static final List<String> PAGES = List.of("README.md", "docs/OPERATIONS.md");
    private static final Pattern SETTING_ROW =
            Pattern.compile("(?m)^\\| (`\\S+` \\| [^|]* \\| [^|]* \\| [^|]*) \\| \\S.* \\|$");
    private static final Pattern EVENT_ROW =
            Pattern.compile("(?m)^\\| (\\d{4}) \\| (\\w+) \\| `(\\w+)` \\| `(.*?)` \\| \\S.* \\|$");

    @Test
    void eventCatalogueMatchesTheCode() throws IOException {
        List<String> code = Stream.of(
                        FrameEvent.values(),
                        RouterEvent.values(),
                        CoordinatorEvent.values(),
                        BackendEvent.values(),
                        NodeEvent.values(),
                        StandinEvent.values(),
                        LoadEvent.values())
                .flatMap(Arrays::stream)
                .map(DocumentationTest::catalogueLine)
                .toList();
        List<String> catalogue = EVENT_ROW
                .matcher(read("docs/EVENTS.md"))
                .results()
                .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3) + " " + row.group(4))
                .toList();
        assertEquals(String.join("\n", code), String.join("\n", catalogue));
        long numbers =
                code.stream().map(entry -> entry.substring(0, 4)).distinct().count();
        assertEquals(code.size(), numbers, "each number once");
    }

    @Test
    void documentedCommandsExist() throws IOException {
        List<String> commandNames = PersimmonCtl.commands().stream()
                .map(command -> command.name() + " ")
                .toList();
        Pattern commandPattern = Pattern.compile("persimmonctl ((?!--)[a-z][^`\\n|]*)");
        for (MatchResult match : matchesInPages(commandPattern)) {
            String usage = match.group(1) + " ";
            assertTrue(commandNames.stream().anyMatch(usage::startsWith), "persimmonctl " + usage);
        }
    }

    @Test
    void everyCommandIsDocumented() throws IOException {
        String operationsPage = read("docs/OPERATIONS.md");
        PersimmonCtl.commands()
                .forEach(command ->
                        assertTrue(operationsPage.contains("persimmonctl " + command.name()), command.name()));
    }

    @Test
    void documentedLaunchersAndFaultsExist() throws IOException {
        for (MatchResult match : matchesInPages(Pattern.compile("bin/([a-z-]+)"))) {
            assertTrue(Files.isExecutable(ROOT.resolve("bin").resolve(match.group(1))), match.group());
        }
        String faults = Pattern.compile("FAULTS=\"(.*?)\"")
                .matcher(read("demo"))
                .results()
                .findFirst()
                .orElseThrow()
                .group(1);
        TreeSet<String> documented = new TreeSet<>();
        matchesInPages(Pattern.compile("--fault ([a-z-]+)")).forEach(match -> documented.add(match.group(1)));
        assertEquals(new TreeSet<>(List.of(faults.split(" "))), documented);
    }

    @ParameterizedTest
    @MethodSource("settingsTypes")
    void documentedSettingsMatchTheirRecords(String program, Class<? extends Record> type) throws IOException {
        String page = read("docs/OPERATIONS.md");
        int from = page.indexOf("### Settings of " + program + "\n");
        String section = page.substring(from, page.indexOf("\n#", from + 1));
        List<String> documented =
                SETTING_ROW.matcher(section).results().map(row -> row.group(1)).toList();
        assertEquals(String.join("\n", SettingsRows.of(type)), String.join("\n", documented));
    }

    private static Stream<Arguments> settingsTypes() {
        return Stream.of(
                Arguments.of("persimmon-router", RouterSettings.class),
                Arguments.of("persimmon-coordinator", CoordinatorSettings.class),
                Arguments.of("persimmonctl", CtlSettings.class),
                Arguments.of("persimmon-load", LoadSettings.class),
                Arguments.of("persimmon-standin", StandinSettings.class));
    }

    private static List<MatchResult> matchesInPages(Pattern pattern) throws IOException {
        StringBuilder pages = new StringBuilder();
        for (String page : PAGES) {
            pages.append(read(page));
        }
        List<MatchResult> found = pattern.matcher(pages).results().toList();
        assertFalse(found.isEmpty(), pattern.pattern());
        return found;
    }

    private static String catalogueLine(Event event) {
        return event.number() + " " + event.level() + " " + ((Enum<?>) event).name() + " " + event.message();
    }

    private static String read(String file) throws IOException {
        return Files.readString(ROOT.resolve(file));
    }

    private static Path findRoot() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("CONTRIBUTING.md"))) {
            directory = directory.getParent();
        }
        return directory;
    }
}
