package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.TextTable;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.StatusAnswer;
import java.util.Locale;
import java.util.stream.Collectors;

/** Shows the nodes, the configuration version of each, the runners, and why runners were not acquired. */
public final class StatusCommand implements Command {
    private static final int BYTES_TO_MIB_SHIFT = 20;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.FLEET;
    }

    @Override
    public String summary() {
        return "Shows nodes, runners and the version in force on each.";
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        StatusAnswer answer = fleet.callFirst(client -> client.status());
        terminal.out().print(memberTable(answer));
        terminal.out().println();
        terminal.out().print(runnerTable(answer));
        if (!answer.getLines().isEmpty()) {
            terminal.out().println();
            terminal.out().print(StatusLineTable.format(answer.getLines()));
        }
    }

    private static String memberTable(StatusAnswer answer) {
        TextTable table = TextTable.of("NODE", "ZONE", "STATUS", "ROUTER", "CALLERS CONNECT TO", "VERSION");
        for (Member member : answer.getMembers()) {
            table.row(
                    member.getNode(),
                    member.getZone(),
                    member.getStatus(),
                    member.getRouterState(),
                    member.getRouterCallersAddress(),
                    member.getConfigurationVersion());
        }
        return table.text();
    }

    private static String runnerTable(StatusAnswer answer) {
        TextTable table = TextTable.of("RUNNER", "ZONE", "OWNER", "EPOCH", "USED MB", "OF MB", "MODELS", "LEAVING");
        for (RunnerStatus runner : answer.getRunners()) {
            long usedBytes = runner.getModels().stream()
                    .mapToLong(LoadedModel::getMemoryBytes)
                    .sum();
            table.row(
                    runner.getRunner(),
                    runner.getZone(),
                    runner.getOwnerNode(),
                    runner.getEpoch(),
                    usedBytes >> BYTES_TO_MIB_SHIFT,
                    runner.getMemoryBytes() >> BYTES_TO_MIB_SHIFT,
                    modelNames(runner),
                    runner.isLeaving() ? "yes" : "no");
        }
        return table.text();
    }

    private static String modelNames(RunnerStatus runner) {
        return runner.getModels().stream()
                .map(model -> model.getState() == LoadState.LOADED
                        ? model.getModel()
                        : model.getModel() + "(" + model.getState().name().toLowerCase(Locale.ROOT) + ")")
                .collect(Collectors.joining(" "));
    }
}
