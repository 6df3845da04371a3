package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.Sheet;
import io.persimmonstack.ctl.sheet.SheetFile;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;

/** Command on one sheet, which is read and checked first. */
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
     * Runs the command.
     *
     * @param sheet sheet without faults
     * @param fleet access to the fleet
     * @param terminal where to write
     * @throws RuntimeFailure if it could not do its work
     */
    void run(Sheet sheet, FleetClient fleet, Terminal terminal) throws RuntimeFailure;
}
