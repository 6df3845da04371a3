package io.persimmonstack.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.wire.gen.StatusLine;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the commands that call coordinators and admin ports, against in-process fakes. */
class FleetCommandsTest {
    private static final String HEADER = "# exported_from: %d\ndeployment,model,versions,adapters,callers,priority,"
            + "replica_cap,min_replicas,cold_start_weight,max_deadline_ms\n";
    private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
    private final InMemoryKvStore kv = InMemoryKvStore.create();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PrintStream output = new PrintStream(out, true, StandardCharsets.UTF_8);
    private final PersimmonCtl ctl = PersimmonCtl.of(new Terminal(output, output), settings -> kv);
    private FakeFleet fleet;

    @TempDir
    Path directory;

    @BeforeEach
    void start() throws Exception {
        fleet = FakeFleet.start("entry-1", "entry-2");
        fleet.addRunner("runner-1", "entry-2", false);
        fleet.addRunner("runner-2", "entry-9", true);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void statusShowsNodesRunnersAndAcquisitionFailures() throws Exception {
        fleet.addAcquisitionFailure("runner-2", "owner entry-9#4 is not known to be gone");
        run("status");
        verify();
    }

    @Test
    void drainIsSentToTheOwner() throws Exception {
        run("drain", "runner-1");
        run("drain", "runner-1", "--undo");
        assertEquals(List.of("entry-2 runner-1 true", "entry-2 runner-1 false"), fleet.drainCalls);
        assertEquals(ExitCode.FAILURE, run("drain", "runner-2"));
        assertEquals(ExitCode.FAILURE, run("drain", "runer-1"));
        verify();
    }

    @Test
    void explainShowsTheCauseOfEachColdModel() throws Exception {
        setCold("asked-never");
        setCold("went-idle", line("went-idle", "last asked", "2026-12-03T10:00:01Z from zone cairo-a"));
        fleet.setExplanation(
                "entry-2",
                "went-idle",
                line("went-idle", "last unloaded", "2026-12-03T10:20:00.5Z on runner-1: idle for 900000 ms"));
        setCold(
                "found-no-room",
                line("found-no-room", "last asked", "2026-12-03T10:00:01Z from zone cairo-a"),
                line("found-no-room", "last refused", "2026-12-03T10:00:01Z refused-memory, no runner has room"));
        setCold(
                "lost-its-runner",
                line("lost-its-runner", "last unloaded", "2026-12-03T09:00:00Z on runner-1: idle for 900000 ms"),
                line("lost-its-runner", "last asked", "2026-12-03T10:00:01Z from zone cairo-a"));
        fleet.setExplanation("entry-1", "removed", line("removed", "state", "cold"), line("removed", "slots", "none"));
        fleet.setExplanation(
                "entry-1",
                "warm",
                line("warm", "deployment", "desk"),
                line("warm", "state", "loaded on runner-1 with ar"));
        for (String model :
                List.of("asked-never", "went-idle", "found-no-room", "lost-its-runner", "removed", "warm")) {
            run("explain", model);
        }
        verify();
    }

    private void setCold(String model, StatusLine... more) {
        StatusLine[] lines = {line(model, "deployment", "desk"), line(model, "state", "cold")};
        fleet.setExplanation(
                "entry-1",
                model,
                Stream.concat(Stream.of(lines), Stream.of(more)).toArray(StatusLine[]::new));
    }

    private static StatusLine line(String model, String attribute, String value) {
        return new StatusLine(model + "@v1", attribute, value);
    }

    @Test
    void explainShowsTheOwnerOfARunnerWhileOneNodeIsDown() throws Exception {
        String runner = "runner runner-1";
        StatusLine owner = new StatusLine(runner, "owner", "entry-2#7");
        fleet.setExplanation("entry-1", "runner-1", owner);
        fleet.setExplanation(
                "entry-2",
                "runner-1",
                new StatusLine(runner, "owner", "entry-2#7, older view"),
                new StatusLine(runner, "owned since", "2026-12-03T10:00:00Z"));
        run("explain", "runner-1");
        fleet.stopCoordinator("entry-2");
        assertEquals(ExitCode.OK, run("explain", "runner-1"));
        assertTrue(printed().contains("entry-2: no answer, its history is missing"));
        assertEquals(ExitCode.FAILURE, run("explain", "runner-3"));
        assertTrue(printed().contains("did you mean 'runner-1'?"));
    }

    @Test
    void explainShowsWhyARequestWasRefused() throws Exception {
        String refusal = """
            {"request": "mine.e1-x-%d", "atMs": %d, "asked": "deduction", "policy": "desk", "caller": "%s",
             "code": "replica-cap", "ran": "no", "reason": "deduction@v1: 3 slots of 3 are in use", "waitedMs": 12}
            """;
        fleet.adminPages.put("/refusals/mine", "[" + refusal.formatted(1, 1_000, "tenant") + "]");
        fleet.adminPages.put(
                "/refusals/two words+",
                "[" + refusal.formatted(2, 1_000, "") + "," + refusal.formatted(3, 2_000, "tenant") + "]");
        run("explain", "mine");
        run("explain", "two words+");
        verify();
    }

    @Test
    void explainShowsWhatASheetWouldChange() throws Exception {
        run(
                "sheet",
                "apply",
                sheet(0, "deposits,reason,1,ar;en,desk;mail,0,3,1,60,30000\nold,dispute,1,,desk,5,2,1,10,9000\n"));
        out.reset();
        String next = "deposits,reason,2;1,ar,desk;phone,2,1,1,90,20000\nnew,release,1,,desk,5,2,1,10,9000\n";
        run("explain", "--sheet", sheet(1, next));
        run("explain", "--sheet", sheet(0, next));
        run(
                "explain",
                "--sheet",
                sheet(1, "deposits,reason,1,ar;en,desk;mail,0,3,1,60,30000\nold,dispute,1,,desk,5,2,1,10,9000\n"));
        assertEquals(ExitCode.USAGE, run("explain", "deposits", "--sheet", sheet(1, next)));
        verify();
    }

    @Test
    void traceShowsTheSpansAsATree() throws Exception {
        String span = "{\"program\": \"%s\", \"name\": \"%s\", \"span\": \"%s\", \"parent\": \"%s\","
                + " \"startNanos\": %d, \"endNanos\": %d}";
        fleet.adminPages.put(
                "/traces/" + TRACE_ID,
                "["
                        + span.formatted("persimmon-router", "account", "a", "caller", 1_000_000, 9_000_000)
                        + ","
                        + span.formatted("persimmon-coordinator", "coordinator.load", "c", "b", 3_000_000, 8_000_000)
                        + "," + span.formatted("persimmon-router", "admit", "b", "a", 2_000_000, 8_500_000) + "]");
        run("trace", TRACE_ID);
        assertEquals(ExitCode.FAILURE, run("trace", TRACE_ID.replace('4', '5')));
        verify();
    }

    private ExitCode run(String... arguments) throws Exception {
        Path settings = Files.writeString(directory.resolve("ctl.json"), fleet.settingsJson());
        output.println("> " + String.join(" ", arguments).replace(directory.toString(), ""));
        return ctl.run(Stream.concat(Stream.of(arguments), Stream.of("--settings", settings.toString()))
                .toArray(String[]::new));
    }

    private String sheet(long exportedFromVersion, String rows) throws Exception {
        Path file = directory.resolve("sheet.csv");
        return Files.writeString(file, HEADER.formatted(exportedFromVersion) + rows)
                .toString();
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private void verify() {
        Approvals.verify(printed());
    }
}
