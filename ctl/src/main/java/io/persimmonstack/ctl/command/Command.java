package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;

/** One command of persimmonctl. */
public interface Command {
    /** Returns the words after {@code persimmonctl} that select the command, such as {@code sheet apply}. */
    String name();

    /** Returns the group under which the usage help lists the command. */
    CommandGroup group();

    /** Returns the one-line summary for the usage help. */
    String summary();

    /** Returns the operands as the usage help shows them, empty if the command takes none. */
    default String operands() {
        return "";
    }

    /**
     * Adds the options that only this command has.
     *
     * @param options options of the command so far
     * @return the options with the added ones
     */
    default Options addOptions(Options options) {
        return options;
    }

    /**
     * Runs the command.
     *
     * @param parsed options and operands of the command line
     * @param fleet client of the configuration store and the coordinators
     * @param terminal output streams
     * @throws RuntimeFailure if the command fails; the message is shown to the operator
     */
    void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure;

    /**
     * Returns the operand of a command that takes exactly one.
     *
     * @param parsed options and operands of the command line
     * @return the operand
     * @throws UsageException if there is no operand or more than one
     */
    default String singleOperand(ParsedOptions parsed) throws UsageException {
        if (parsed.operands().size() != 1) {
            throw new UsageException("'" + String.join(" ", parsed.operands()) + "': expected " + operands()
                    + " after 'persimmonctl " + name() + "'");
        }
        return parsed.operands().get(0);
    }
}
