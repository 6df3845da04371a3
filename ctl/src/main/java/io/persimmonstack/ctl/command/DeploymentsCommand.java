package io.persimmonstack.ctl.command;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.TextTable;
import io.persimmonstack.runtime.command.ParsedOptions;

/** Lists the deployments of the active configuration, each with the version that last changed it. */
public final class DeploymentsCommand implements Command {
    @Override
    public String name() {
        return "deployments";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.FLEET;
    }

    @Override
    public String summary() {
        return "Lists the deployments in force.";
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        FleetConfiguration configuration = fleet.activeConfiguration();
        TextTable table = TextTable.of("DEPLOYMENT", "MODEL", "VERSIONS", "ADAPTERS", "PRIORITY", "CAP", "CHANGED IN");
        for (Deployment deployment : configuration.deployments()) {
            table.row(
                    deployment.name(),
                    deployment.model(),
                    String.join(" ", deployment.versions()),
                    deployment.adapters().size(),
                    deployment.priority(),
                    deployment.replicaCap(),
                    configuration.lastChangeVersion(deployment.name()));
        }
        terminal.out().print(table.text());
        terminal.out().println("version " + configuration.version());
    }
}
