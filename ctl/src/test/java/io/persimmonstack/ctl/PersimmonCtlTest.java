package io.persimmonstack.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.ctl.command.Command;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.ProgramException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PersimmonCtlTest {
    private static final String HEADER = "deployment,model,versions,adapters,callers,priority,replica_cap,min_replicas,"
            + "cold_start_weight,max_deadline_ms\n";
    private static final String ROW = "deposits,reason,2;1,ar,desk,0,3,1,60,30000\n";
    private final InMemoryKvStore kv = InMemoryKvStore.create();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final PersimmonCtl ctl = PersimmonCtl.of(
            new Terminal(
                    new PrintStream(out, true, StandardCharsets.UTF_8),
                    new PrintStream(err, true, StandardCharsets.UTF_8)),
            settings -> kv);

    @TempDir
    Path directory;

    private Path settings;

    @BeforeEach
    void writeSettings() throws IOException {
        settings = Files.writeString(
                directory.resolve("ctl.json"), "{\"kv\": \"127.0.0.1:1\", \"coordinators\": [\"127.0.0.1:1\"]}");
    }

    @Test
    void helpOfEveryCommandMatchesTheApprovedText() {
        ctl.run("--help");
        for (Command command : PersimmonCtl.commands()) {
            out.writeBytes("\n---\n".getBytes(StandardCharsets.UTF_8));
            ctl.run((command.name() + " --help").split(" "));
        }
        Approvals.verify(out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void usageErrorsNameTheArgumentAndTheExpectation() {
        List<String> commandLines = List.of(
                "sheet aply x.csv",
                "stats",
                "sheet",
                "sheet check",
                "sheet check a b",
                "deployments x",
                "status --setings f",
                "caller add a.b",
                "trace xyz",
                "service set escrow --priority 11 --callers a",
                "sheet check missing.csv");
        for (String commandLine : commandLines) {
            assertEquals(ExitCode.USAGE, run(commandLine.split(" ")), commandLine);
        }
        Approvals.verify(err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void reapplyingASheetChangesNothingAndAnOutdatedExportIsRejected() throws Exception {
        Path sheet = sheet("# exported_from: 0\n" + HEADER + ROW);
        assertEquals(ExitCode.OK, run("sheet", "apply", sheet.toString()));
        assertEquals(
                ExitCode.OK, run("sheet", "apply", sheet.toString()), "applying the same sheet again changes nothing");
        assertEquals(1, activeConfiguration().version());

        Path edited = sheet("# exported_from: 1\n" + HEADER + ROW.replace(",3,1,", ",5,1,"));
        assertEquals(ExitCode.OK, run("sheet", "apply", edited.toString()));
        assertEquals(5, activeConfiguration().replicaCap("reason"));

        Path outdated = sheet("# exported_from: 1\n" + HEADER + ROW.replace(",3,1,", ",4,1,"));
        assertEquals(ExitCode.FAILURE, run("sheet", "diff", outdated.toString()));
        assertEquals(ExitCode.FAILURE, run("sheet", "apply", outdated.toString()));
        assertEquals(2, activeConfiguration().version());
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("! deposits: changed in version 2"));
    }

    @Test
    void lostKvRepliesDoNotCommitTwice() throws Exception {
        Path sheet = sheet("# exported_from: 0\n" + HEADER + ROW);
        kv.loseReplies(2);
        assertEquals(ExitCode.OK, run("sheet", "apply", sheet.toString()));
        assertEquals(1, activeConfiguration().version());
    }

    @Test
    void applyFailsAndCommitsNothingWhileTheKvIsUnavailable() throws Exception {
        kv.unavailable(true);
        Path sheet = sheet("# exported_from: 0\n" + HEADER + ROW);
        assertEquals(ExitCode.FAILURE, run("sheet", "apply", sheet.toString()));
        kv.unavailable(false);
        assertEquals(0, activeConfiguration().version());
    }

    @Test
    void malformedSheetLeavesTheConfigurationUnchanged() throws Exception {
        run("sheet", "apply", sheet("# exported_from: 0\n" + HEADER + ROW).toString());
        FleetConfiguration before = activeConfiguration();
        String malformed = "# exported_from: 1\n" + HEADER + ROW.replace(",0,3,", ",0,-3,");
        assertEquals(ExitCode.FAILURE, run("sheet", "apply", sheet(malformed).toString()));
        assertEquals(before, activeConfiguration());
    }

    @Test
    void exportedSheetHasNoDifferences() throws Exception {
        run("sheet", "apply", sheet("# exported_from: 0\n" + HEADER + ROW).toString());
        out.reset();
        run("sheet", "export");
        Path exported = sheet(out.toString(StandardCharsets.UTF_8));
        out.reset();
        assertEquals(ExitCode.OK, run("sheet", "diff", exported.toString()));
        assertEquals("0 differences, 0 conflicts\n", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void newKeyIsPrintedAndOnlyItsHashIsStored() throws Exception {
        run("caller", "add", "desk");
        String key = out.toString(StandardCharsets.UTF_8).strip();
        assertEquals(
                "desk", activeConfiguration().callerWithKey(key).orElseThrow().caller());
        String secret = key.substring("desk.".length());
        assertTrue(kv.list("/").entries().stream()
                .noneMatch(entry -> new String(entry.value(), StandardCharsets.ISO_8859_1).contains(secret)));
    }

    private ExitCode run(String... arguments) {
        String[] all = Arrays.copyOf(arguments, arguments.length + 2);
        all[arguments.length] = "--settings";
        all[arguments.length + 1] = settings.toString();
        return ctl.run(all);
    }

    private FleetConfiguration activeConfiguration() throws ProgramException {
        CtlSettings placeholderSettings =
                new CtlSettings("127.0.0.1:1", List.of(), List.of(), Optional.empty(), Optional.empty(), "test");
        try (FleetClient fleet = FleetClient.of(placeholderSettings, kv)) {
            return fleet.activeConfiguration();
        }
    }

    private Path sheet(String text) throws IOException {
        return Files.writeString(Files.createTempFile(directory, "sheet", ".csv"), text);
    }
}
