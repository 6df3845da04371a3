package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordinator.CoordinatorProgram;
import io.persimmonstack.ctl.PersimmonCtl;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.router.RouterProgram;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.Program;
import io.persimmonstack.runtime.ProgramMain;
import io.persimmonstack.standin.StandinProgram;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Checks the command lines of all programs: help texts and messages about missing, malformed or mistyped options. */
class ProgramsTest {
    private static final Pattern OPTION = Pattern.compile("(?m)^ {2}--([a-z-]+)");

    private interface Launcher {
        ExitCode run(String[] arguments, PrintStream out, PrintStream err);
    }

    private record RunResult(ExitCode code, String out, String err) {}

    private static Map<String, Launcher> programs() {
        Map<String, Launcher> programs = new TreeMap<>();
        for (Program<?> program : List.of(RouterProgram.create(), new CoordinatorProgram(), new StandinProgram())) {
            programs.put(program.name(), (arguments, out, err) -> ProgramMain.run(program, arguments, out, err));
        }
        programs.put("persimmon-load", LoadMain::run);
        return programs;
    }

    private static Map<String, Launcher> commands() {
        Map<String, Launcher> commands = new TreeMap<>();
        PersimmonCtl.commands()
                .forEach(command -> commands.put(command.name(), (arguments, out, err) -> {
                    PersimmonCtl.KvConnector none = settings -> (KvStore) null;
                    return PersimmonCtl.of(new Terminal(out, err), none)
                            .run((command.name() + " " + String.join(" ", arguments)).split(" "));
                }));
        return commands;
    }

    private static RunResult run(Launcher program, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = program.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new RunResult(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void helpOfEveryProgramIsAsApproved() {
        StringBuilder help = new StringBuilder();
        programs()
                .values()
                .forEach(program -> help.append(run(program, "--help").out()).append("---\n"));
        Approvals.verify(help.toString());
    }

    @Test
    void mistypedOptionsAreAnsweredWithASuggestion() {
        Map<String, Launcher> launchers = programs();
        launchers.putAll(commands());
        launchers.forEach((name, program) -> {
            List<String> options = OPTION.matcher(run(program, "--help").out())
                    .results()
                    .map(match -> match.group(1))
                    .toList();
            assertFalse(options.isEmpty(), name);
            for (String option : options) {
                RunResult result = run(program, "--" + option.substring(0, option.length() - 1), "x");
                assertEquals(ExitCode.USAGE, result.code(), name + " --" + option);
                assertTrue(result.err().contains("did you mean '" + option + "'?"), name + ": " + result.err());
            }
        });
    }

    @Test
    void eachMissingOrMalformedOptionIsNamed() {
        StringBuilder errors = new StringBuilder();
        programs().values().forEach(program -> {
            for (String line : List.of("", "--settings", "--settings missing.json", "x", "--admin y --settings z")) {
                RunResult result = run(program, line.isEmpty() ? new String[0] : line.split(" "));
                errors.append(result.code()).append(' ').append(result.err());
            }
        });
        Approvals.verify(errors.toString());
    }
}
