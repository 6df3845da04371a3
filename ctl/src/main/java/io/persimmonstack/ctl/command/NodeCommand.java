package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;

/** Command that asks one node, whose address is an option; it needs neither settings nor the configuration store. */
public interface NodeCommand extends Command {
    /**
     * Runs the command.
     *
     * @param parsed options and operands of the command line
     * @param terminal output streams
     * @throws RuntimeFailure if the command fails; the message is shown to the operator
     */
    void run(ParsedOptions parsed, Terminal terminal) throws RuntimeFailure;

    @Override
    default void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        run(parsed, terminal);
    }
}
