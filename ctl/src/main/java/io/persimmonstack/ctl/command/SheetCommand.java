package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.Sheet;
import io.persimmonstack.ctl.sheet.SheetFile;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;

/** Command that takes one sheet file, which is read and checked before the command runs. */
interface SheetCommand extends Command {
    @Override
    default CommandGroup group() {
        return CommandGroup.SHEET;
    }

    @Override
    default String operands() {
        return "<sheet.csv>";
    }

    @Override
    default void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        run(SheetFile.read(singleOperand(parsed)), fleet, terminal);
    }

    /**
     * Runs the command on a sheet.
     *
     * @param sheet valid sheet
     * @param fleet client of the configuration store and the coordinators
     * @param terminal output streams
     * @throws RuntimeFailure if the command fails; the message is shown to the operator
     */
    void run(Sheet sheet, FleetClient fleet, Terminal terminal) throws RuntimeFailure;
}
