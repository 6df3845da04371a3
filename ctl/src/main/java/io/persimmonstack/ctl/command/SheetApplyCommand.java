package io.persimmonstack.ctl.command;

import io.persimmonstack.configuration.CallerKey;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.sheet.Sheet;
import io.persimmonstack.ctl.sheet.SheetDiff;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Commits the deployments of a sheet as the next configuration. Applies nothing if a row conflicts with a change that
 * was committed after the sheet was exported.
 */
public final class SheetApplyCommand implements SheetCommand {
    @Override
    public String name() {
        return "sheet apply";
    }

    @Override
    public String summary() {
        return "Applies a sheet, unless a row conflicts with a later change.";
    }

    @Override
    public void run(Sheet sheet, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        FleetConfiguration active = fleet.activeConfiguration();
        SheetDiff diff = SheetDiff.between(sheet, active);
        if (!diff.conflicts().isEmpty()) {
            throw conflictException(diff);
        }
        if (diff.differences().isEmpty()) {
            terminal.out().println("version " + active.version() + " already says the same; nothing was changed");
            return;
        }
        FleetConfiguration next = active.withDeployments(sheet.deployments());
        fleet.commit(next);
        terminal.out()
                .println("version " + next.version() + " is committed, "
                        + diff.differences().size() + " differences");
        hintCallersWithoutKey(next, terminal);
    }

    private static ProgramException conflictException(SheetDiff diff) {
        String lines =
                diff.conflicts().stream().map(row -> "\n  " + row.message()).collect(Collectors.joining());
        return new ProgramException("nothing was changed; export the sheet again and repeat the edit:" + lines);
    }

    private static void hintCallersWithoutKey(FleetConfiguration configuration, Terminal terminal) {
        Set<String> callersWithKey =
                configuration.callers().stream().map(CallerKey::caller).collect(Collectors.toSet());
        configuration.deployments().stream()
                .flatMap(deployment -> deployment.callers().stream())
                .filter(caller -> !callersWithKey.contains(caller))
                .distinct()
                .forEach(caller -> terminal.err()
                        .println("caller " + caller + " has no key yet; see 'persimmonctl caller add " + caller + "'"));
    }
}
