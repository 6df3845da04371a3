package io.persimmonstack.load;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.ctl.sheet.SheetFile;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.Version;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.settings.SettingsReader;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;

/** Main class of {@code persimmon-load}: sends the load and prints a report that checks the system's guarantees. */
public final class LoadMain {
    private static final String NAME = "persimmon-load";

    private LoadMain() {}

    /**
     * Runs the program; exits with 1 if a guarantee was violated or the run failed, with 2 on wrong usage or settings.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err).code());
    }

    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            return execute(arguments, out);
        } catch (RuntimeFailure e) {
            err.println(NAME + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private static Options options() {
        return Options.of(NAME, "Sends requests as callers would and checks the promises made to them.")
                .section("Settings")
                .value("settings", "file", "settings in JSON with comments; required")
                .flag("check-settings", "checks the settings and exits")
                .section("Load")
                .value("key", "key", "key of the caller, as 'persimmonctl caller add' shows it; required")
                .value("sheet", "file", "sheet in force, whose replica caps are checked")
                .section("Help")
                .flag("help", "shows this text")
                .flag("version", "shows the version");
    }

    private static ExitCode execute(String[] arguments, PrintStream out) throws RuntimeFailure {
        Options options = options();
        ParsedOptions parsed = options.parse(arguments);
        if (parsed.has("help")) {
            out.print(options.usage());
            return ExitCode.OK;
        }
        if (parsed.has("version")) {
            out.println(NAME + " " + Version.current());
            return ExitCode.OK;
        }
        parsed.rejectOperands();
        LoadSettings settings = SettingsReader.read(Path.of(parsed.required("settings")), LoadSettings.class);
        if (parsed.has("check-settings")) {
            out.println(parsed.required("settings") + ": ok");
            return ExitCode.OK;
        }
        LoadResult result = LoadRun.execute(settings, parsed.required("key"));
        LoadReport report = LoadReport.of(
                result, LedgerReader.read(settings.ledgers()), replicaCaps(parsed), settings.routersMayDie());
        out.print(report.render());
        LoadRun.generateTrace(settings)
                .ifPresent(
                        compressed -> out.print(compressed.replay(settings.replayLoadMs(), settings.replayWeight())));
        return report.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILURE;
    }

    /** Returns the lowest replica cap of each model in the sheet; empty if no sheet was given. */
    private static Map<String, Integer> replicaCaps(ParsedOptions parsed) throws RuntimeFailure {
        if (parsed.value("sheet").isEmpty()) {
            return Map.of();
        }
        return SheetFile.read(parsed.required("sheet")).deployments().stream()
                .collect(Collectors.toMap(Deployment::model, Deployment::replicaCap, Math::min));
    }
}
