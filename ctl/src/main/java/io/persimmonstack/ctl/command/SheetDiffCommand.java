package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.Sheet;
import io.persimmonstack.ctl.sheet.SheetDiff;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;

/** Shows the differences between a sheet and the active configuration. Fails if one conflicts with a later change. */
public final class SheetDiffCommand implements SheetCommand {
    @Override
    public String name() {
        return "sheet diff";
    }

    @Override
    public String summary() {
        return "Shows what a sheet would change, and its conflicts.";
    }

    @Override
    public void run(Sheet sheet, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        SheetDiff diff = SheetDiff.between(sheet, fleet.activeConfiguration());
        diff.differences().forEach(difference -> terminal.out().println(difference.message()));
        terminal.out()
                .println(diff.differences().size() + " differences, "
                        + diff.conflicts().size() + " conflicts");
        if (!diff.conflicts().isEmpty()) {
            throw new ProgramException("the sheet conflicts with later changes and would be rejected");
        }
    }
}
