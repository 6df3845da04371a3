package io.persimmonstack.runtime.command;

import io.persimmonstack.runtime.NearestMatch;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Declares the options of one command, grouped in sections of its usage help, and parses its command line.
 *
 * <pre>{@code
 * Options options = Options.of("persimmonctl status", "Shows each node and its version.")
 *         .section("Connection").value("coordinator", "ip:port", "coordinator to ask")
 *         .section("Help").flag("help", "shows this text");
 * ParsedOptions parsed = options.parse(args);
 * }</pre>
 */
public final class Options {
    /** Width of the option column in the usage help, in characters. */
    private static final int OPTION_COLUMN = 28;

    private final String command;
    private final String summary;
    private final OptionParser parser = new OptionParser(false);
    private final Map<String, List<String>> sections = new LinkedHashMap<>();
    /** Syntax of each option in the help, such as {@code --admin <ip:port>}, by name without dashes. */
    private final Map<String, String> syntaxByOption = new LinkedHashMap<>();

    private List<String> currentSection = new ArrayList<>();
    private String operands = "";

    private Options(String command, String summary) {
        this.command = command;
        this.summary = summary;
    }

    /**
     * Returns a builder for the options of a command.
     *
     * @param command command as typed, such as {@code persimmonctl status}
     * @param summary one-line description for the usage help
     * @return a builder without options
     */
    public static Options of(String command, String summary) {
        return new Options(command, summary);
    }

    /** Starts a section of the usage help, or continues the one with the same title. */
    public Options section(String title) {
        currentSection = sections.computeIfAbsent(title, ignored -> new ArrayList<>());
        return this;
    }

    /** Adds an option without a value to the current section. */
    public Options flag(String name, String description) {
        parser.accepts(name);
        addUsageLine(name, "--" + name, description);
        return this;
    }

    /** Adds an option with a required value to the current section; the help shows {@code --name <valueName>}. */
    public Options value(String name, String valueName, String description) {
        parser.accepts(name).withRequiredArg();
        addUsageLine(name, "--" + name + " <" + valueName + ">", description);
        return this;
    }

    /** Adds a line of text to the current section of the help. */
    public Options note(String text) {
        currentSection.add("  " + text);
        return this;
    }

    /** Sets the operands shown in the usage line, such as {@code <sheet.csv>}. Empty shows none. */
    public Options operands(String syntax) {
        operands = syntax.isEmpty() ? "" : " " + syntax;
        return this;
    }

    /**
     * Parses a command line.
     *
     * @param arguments arguments that follow the command
     * @return the parsed options
     * @throws UsageException if an option is unknown or lacks its value
     */
    public ParsedOptions parse(String... arguments) throws UsageException {
        try {
            OptionSet optionSet = parser.parse(arguments);
            return ParsedOptions.of(optionSet);
        } catch (OptionException e) {
            throw new UsageException(
                    errorMessage(e.options().isEmpty() ? "" : e.options().get(0)), e);
        }
    }

    /** Returns the message for a declared option without its value, or for an unknown option. */
    private String errorMessage(String option) {
        return syntaxByOption.containsKey(option)
                ? "--" + option + ": value missing; expected " + syntaxByOption.get(option)
                : "--" + option + ": unknown option; expected one of --" + String.join(", --", syntaxByOption.keySet())
                        + NearestMatch.hint(option, syntaxByOption.keySet());
    }

    /** Returns the usage help: usage line, summary, sections and exit codes. */
    public String usage() {
        StringBuilder text = new StringBuilder();
        text.append("Usage: ")
                .append(command)
                .append(" [options]")
                .append(operands)
                .append('\n');
        text.append(summary).append('\n');
        sections.forEach((title, lines) -> {
            text.append('\n').append(title).append(":\n");
            lines.forEach(line -> text.append(line).append('\n'));
        });
        text.append("\nExit codes: 0 done, 1 failure, 2 wrong usage or settings\n");
        return text.toString();
    }

    private void addUsageLine(String name, String syntax, String description) {
        syntaxByOption.put(name, syntax);
        String padding = " ".repeat(Math.max(1, OPTION_COLUMN - syntax.length()));
        currentSection.add("  " + syntax + padding + description);
    }
}
