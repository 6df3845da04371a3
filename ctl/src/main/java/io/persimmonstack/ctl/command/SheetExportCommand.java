package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.SheetWriter;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;

/** Prints the active configuration as a sheet. */
public final class SheetExportCommand implements Command {
    @Override
    public String name() {
        return "sheet export";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.SHEET;
    }

    @Override
    public String summary() {
        return "Writes the configuration in force as a sheet.";
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        terminal.out().print(SheetWriter.write(fleet.activeConfiguration()));
    }
}
