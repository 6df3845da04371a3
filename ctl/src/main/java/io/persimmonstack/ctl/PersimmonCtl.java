package io.persimmonstack.ctl;

import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.ctl.command.CallerAddCommand;
import io.persimmonstack.ctl.command.Command;
import io.persimmonstack.ctl.command.CommandGroup;
import io.persimmonstack.ctl.command.DeploymentsCommand;
import io.persimmonstack.ctl.command.DrainCommand;
import io.persimmonstack.ctl.command.ExplainCommand;
import io.persimmonstack.ctl.command.ExplainRequestCommand;
import io.persimmonstack.ctl.command.NodeCommand;
import io.persimmonstack.ctl.command.ServiceSetCommand;
import io.persimmonstack.ctl.command.SheetApplyCommand;
import io.persimmonstack.ctl.command.SheetCheckCommand;
import io.persimmonstack.ctl.command.SheetDiffCommand;
import io.persimmonstack.ctl.command.SheetExportCommand;
import io.persimmonstack.ctl.command.StatusCommand;
import io.persimmonstack.ctl.command.TraceCommand;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.NearestMatch;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.Version;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;
import io.persimmonstack.runtime.settings.SettingsReader;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Command line of persimmonctl: finds the command, parses its options, reads the settings and runs the command. */
public final class PersimmonCtl {
    private static final String NAME = "persimmonctl";
    private static final String SETTINGS_VARIABLE = "PERSIMMONCTL_SETTINGS";
    /** Column of the usage help in which the summaries of the commands start. */
    private static final int SUMMARY_COLUMN = 40;

    private static final List<Command> COMMANDS = List.of(
            new SheetCheckCommand(),
            new SheetDiffCommand(),
            new SheetApplyCommand(),
            new SheetExportCommand(),
            new StatusCommand(),
            new DeploymentsCommand(),
            new ExplainCommand(),
            new DrainCommand(),
            new CallerAddCommand(),
            new ServiceSetCommand(),
            new TraceCommand(),
            new ExplainRequestCommand());
    private final Terminal terminal;
    private final KvConnector kvConnector;

    private PersimmonCtl(Terminal terminal, KvConnector kvConnector) {
        this.terminal = terminal;
        this.kvConnector = kvConnector;
    }

    /** Connects to the key-value store that the settings name. */
    public interface KvConnector {
        /**
         * Connects to the service.
         *
         * @param settings settings of persimmonctl
         * @return client of the service
         */
        KvStore open(CtlSettings settings);
    }

    /**
     * Creates the program.
     *
     * @param terminal output streams
     * @param kvConnector connects to the key-value store
     * @return the program
     */
    public static PersimmonCtl of(Terminal terminal, KvConnector kvConnector) {
        return new PersimmonCtl(terminal, kvConnector);
    }

    /** Returns all commands, in the order of the usage help. */
    public static List<Command> commands() {
        return COMMANDS;
    }

    /**
     * Runs one command. If it fails, the error message is printed on the error stream.
     *
     * @param arguments command-line arguments
     * @return exit code of the process
     */
    public ExitCode run(String... arguments) {
        try {
            dispatch(arguments);
            return ExitCode.OK;
        } catch (RuntimeFailure e) {
            terminal.err().println(NAME + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private void dispatch(String... arguments) throws RuntimeFailure {
        String commandLine = String.join(" ", arguments);
        if (commandLine.isEmpty() || commandLine.equals("--help") || commandLine.equals("help")) {
            terminal.out().print(usage());
            return;
        }
        if (commandLine.equals("--version")) {
            terminal.out().println(NAME + " " + Version.current());
            return;
        }
        Command command = findCommand(commandLine).orElseThrow(() -> unknownCommand(arguments));
        int nameWordCount = command.name().split(" ").length;
        runCommand(command, Arrays.copyOfRange(arguments, nameWordCount, arguments.length));
    }

    /** Returns the command whose name the command line starts with, as whole words. */
    private static Optional<Command> findCommand(String commandLine) {
        return COMMANDS.stream()
                .filter(command -> (commandLine + " ").startsWith(command.name() + " "))
                .findFirst();
    }

    /** Returns the error for arguments that name no command, with a hint if a command name is similar. */
    private static UsageException unknownCommand(String... arguments) {
        List<String> commandNames = COMMANDS.stream().map(Command::name).toList();
        String firstWord = arguments[0];
        boolean singleWord = arguments.length == 1 || arguments[1].startsWith("-");
        String givenName = singleWord ? firstWord : firstWord + " " + arguments[1];
        String hint = NearestMatch.hint(givenName, commandNames);
        return new UsageException(
                "'" + givenName + "': no such command; expected one of " + String.join(", ", commandNames)
                        + (hint.isEmpty() ? NearestMatch.hint(firstWord, commandNames) : hint));
    }

    private void runCommand(Command command, String... arguments) throws RuntimeFailure {
        Options options = command.addOptions(
                Options.of(NAME + " " + command.name(), command.summary()).operands(command.operands()));
        boolean needsSettings = !(command instanceof NodeCommand);
        if (needsSettings) {
            options = options.section("Settings")
                    .value("settings", "file", "settings in JSON with comments; " + SETTINGS_VARIABLE + " when absent");
        }
        options = options.section("Help").flag("help", "shows this text");
        ParsedOptions parsed = options.parse(arguments);
        if (parsed.has("help")) {
            terminal.out().print(options.usage());
            return;
        }
        if (command.operands().isEmpty()) {
            parsed.rejectOperands();
        }
        if (command instanceof NodeCommand nodeCommand) {
            nodeCommand.run(parsed, terminal);
            return;
        }
        CtlSettings settings = SettingsReader.read(Path.of(settingsFile(parsed)), CtlSettings.class);
        try (FleetClient fleet = FleetClient.of(settings, kvConnector.open(settings))) {
            command.run(parsed, fleet, terminal);
        }
    }

    /** Returns the path given by the option, else by the environment variable; fails if both are absent. */
    private static String settingsFile(ParsedOptions parsed) throws UsageException {
        Optional<String> variable = Optional.ofNullable(System.getenv(SETTINGS_VARIABLE));
        return variable.isPresent() && !parsed.has("settings") ? variable.get() : parsed.required("settings");
    }

    private static String usage() {
        StringBuilder text = new StringBuilder("Usage: " + NAME + " <command> [options]\n");
        text.append("Manages a fleet of models and explains its state.\n");
        for (CommandGroup group : CommandGroup.values()) {
            text.append('\n').append(group.title()).append(":\n");
            COMMANDS.stream()
                    .filter(command -> command.group() == group)
                    .forEach(command -> text.append(usageLine(command)));
        }
        text.append("\nHelp:\n  <command> --help\n  --version\n");
        text.append("\nExit codes: 0 done, 1 failure, 2 wrong usage or settings\n");
        return text.toString();
    }

    private static String usageLine(Command command) {
        String invocation = "  " + (command.name() + " " + command.operands()).strip();
        String padding = " ".repeat(Math.max(1, SUMMARY_COLUMN - invocation.length()));
        return invocation + padding + command.summary() + "\n";
    }
}
