package io.persimmonstack.ctl.command;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.ctl.AdminClient;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.explain.ExplanationCollector;
import io.persimmonstack.ctl.explain.RefusedRequest;
import io.persimmonstack.ctl.sheet.SheetEffects;
import io.persimmonstack.ctl.sheet.SheetFile;
import io.persimmonstack.runtime.NearestMatch;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.TextTable;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.StatusAnswer;
import io.persimmonstack.wire.gen.StatusLine;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Explains why a model is not loaded, why a request was refused, who owns a runner, or what a sheet would change. */
public final class ExplainCommand implements Command {
    private static final String SHEET_OPTION = "sheet";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.FLEET;
    }

    @Override
    public String summary() {
        return "Explains a cold model, a refused request, a runner's owner, or what a sheet would change.";
    }

    @Override
    public String operands() {
        return "<subject>";
    }

    @Override
    public Options addOptions(Options options) {
        return options.section("Subject")
                .note("a deployment, model, model version, runner, or the X-Request-Id of a refused request")
                .value(
                        SHEET_OPTION,
                        "sheet.csv",
                        "explains what applying this sheet would change, instead of a subject");
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        Optional<String> sheetFile = parsed.value(SHEET_OPTION);
        if (sheetFile.isPresent()) {
            rejectSubject(parsed);
            explainSheet(sheetFile.get(), fleet, terminal);
        } else {
            explainSubject(singleOperand(parsed), fleet, terminal);
        }
    }

    private static void rejectSubject(ParsedOptions parsed) throws UsageException {
        if (!parsed.operands().isEmpty()) {
            throw new UsageException("'" + parsed.operands().get(0) + "': expected no subject together with --sheet");
        }
    }

    private static void explainSheet(String file, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        List<SheetEffects.Effect> effects =
                new SheetEffects(SheetFile.read(file), fleet.activeConfiguration()).effects();
        if (effects.isEmpty()) {
            terminal.out().println("nothing would change");
            return;
        }
        TextTable table = TextTable.of("SUBJECT", "WOULD CHANGE");
        effects.forEach(effect -> table.row(effect.subject(), effect.text()));
        terminal.out().print(table.text());
    }

    private static void explainSubject(String subject, FleetClient fleet, Terminal terminal) throws ProgramException {
        AdminClient adminClient = AdminClient.of(fleet.settings(), terminal.err());
        String path = "/refusals/"
                + URLEncoder.encode(subject, StandardCharsets.UTF_8).replace("+", "%20");
        List<RefusedRequest> refusals = adminClient.read(path, RefusedRequest.class);
        StatusAnswer status = fleet.callFirst(client -> client.status());
        List<StatusLine> lines = ExplanationCollector.collect(fleet, status, subject, terminal.err());
        if (lines.isEmpty() && refusals.isEmpty()) {
            throw new ProgramException("'" + subject
                    + "': expected a deployment, a model, a runner or a recently refused request"
                    + NearestMatch.hint(subject, knownSubjects(fleet.activeConfiguration(), status)));
        }
        if (!lines.isEmpty()) {
            terminal.out().print(StatusLineTable.format(lines));
        }
        if (!refusals.isEmpty()) {
            terminal.out().print((lines.isEmpty() ? "" : "\n") + RefusedRequest.table(refusals));
        }
    }

    private static List<String> knownSubjects(FleetConfiguration configuration, StatusAnswer status) {
        return Stream.concat(
                        configuration.deployments().stream()
                                .flatMap(deployment -> Stream.of(deployment.name(), deployment.model())),
                        status.getRunners().stream().map(RunnerStatus::getRunner))
                .toList();
    }
}
