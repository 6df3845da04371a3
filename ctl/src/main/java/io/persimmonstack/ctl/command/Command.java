package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;

/** One command of persimmonctl. */
public interface Command {
    /** Returns the words after {@code persimmonctl}, such as {@code sheet apply}. */
    String name();

    /** Returns the group in the usage help. */
    CommandGroup group();

    /** Returns one line that says what the command does. */
    String summary();

    /** Returns the form of the operands, empty where there are none. */
    default String operands() {
        return "";
    }

    /**
     * Adds the command's own options.
     *
     * @param options options shared by all commands
     * @return the options with those of the command
     */
    default Options addOptions(Options options) {
        return options;
    }

    /**
     * Runs the command.
     *
     * @param parsed options and operands
     * @param fleet access to the fleet
     * @param terminal where to write
     * @throws RuntimeFailure if it could not do its work
     */
    void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure;

    /**
     * Returns the only operand.
     *
     * @param parsed options and operands
     * @return the operand
     * @throws UsageException if there is none or more than one
     */
    default String singleOperand(ParsedOptions parsed) throws UsageException {
        if (parsed.operands().size() != 1) {
            throw new UsageException("'" + String.join(" ", parsed.operands()) + "': expected " + operands()
                    + " after 'persimmonctl " + name() + "'");
        }
        return parsed.operands().get(0);
    }
}
