package io.persimmonstack.ctl.command;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.configuration.ServicePolicy;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import java.util.List;

/** Sets the policy of a plain service: its callers, deadline and priority, and whether a call may be sent again. */
public final class ServiceSetCommand implements Command {
    private static final int DEFAULT_DEADLINE_MS = 30_000;
    private static final int MAX_DEADLINE_MS = 3_600_000;
    private static final int DEFAULT_PRIORITY = 5;

    @Override
    public String name() {
        return "service set";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.ACCESS;
    }

    @Override
    public String summary() {
        return "Sets who may call a plain service, and whether a call may be sent again.";
    }

    @Override
    public String operands() {
        return "<service>";
    }

    @Override
    public Options addOptions(Options options) {
        return options.section("Service")
                .value("callers", "a;b", "callers that may use the service; required")
                .flag("repeatable", "a call may be sent again; if absent, each call runs at most once")
                .value("max-deadline-ms", "ms", "longest time that a call may wait; 30000 when absent")
                .value("priority", "0..9", "0 is most urgent; 5 when absent");
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        ServicePolicy policy = new ServicePolicy(
                singleOperand(parsed),
                List.of(parsed.required("callers").split(";")),
                parsed.has("repeatable"),
                (int) parsed.number("max-deadline-ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS),
                (int) parsed.number("priority", DEFAULT_PRIORITY, 0, Deployment.LOWEST_PRIORITY));
        FleetConfiguration next = fleet.activeConfiguration().withService(policy);
        fleet.commit(next);
        terminal.out().println("version " + next.version() + " is committed");
    }
}
