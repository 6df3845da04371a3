package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.NearestMatch;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.StatusAnswer;
import java.util.List;

/** Starts or ends the draining of a runner, by a call to the coordinator that owns it. */
public final class DrainCommand implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.FLEET;
    }

    @Override
    public String summary() {
        return "Drains a runner: gives it no new work and unloads its models.";
    }

    @Override
    public String operands() {
        return "<runner>";
    }

    @Override
    public Options addOptions(Options options) {
        return options.section("Drain").flag("undo", "ends the draining; the runner gets work again");
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        String name = singleOperand(parsed);
        boolean leaving = !parsed.has("undo");
        StatusAnswer status = fleet.callFirst(client -> client.status());
        List<String> runnerNames =
                status.getRunners().stream().map(RunnerStatus::getRunner).toList();
        RunnerStatus runner = status.getRunners().stream()
                .filter(candidate -> candidate.getRunner().equals(name))
                .findFirst()
                .orElseThrow(() ->
                        new ProgramException("'" + name + "': no such runner" + NearestMatch.hint(name, runnerNames)));
        Member owner = status.getMembers().stream()
                .filter(member -> member.getNode().equals(runner.getOwnerNode()))
                .findFirst()
                .orElseThrow(() ->
                        new ProgramException("runner " + name + " has no live owner at present; try again later"));
        fleet.callAt(PeerAddress.parse(owner.getCoordinatorAddress()), client -> {
            client.drainRunner(name, leaving);
            return name;
        });
        terminal.out().println("runner " + name + (leaving ? " takes no new work" : " takes work again"));
    }
}
