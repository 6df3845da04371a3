package io.persimmonstack.ctl.command;

import io.persimmonstack.ctl.AdminClient;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;
import java.util.List;

/** Shows the spans of one request, collected from all admin ports. */
public final class TraceCommand implements Command {
    @Override
    public String name() {
        return "trace";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.REQUESTS;
    }

    @Override
    public String summary() {
        return "Shows the spans of one request at all its hops.";
    }

    @Override
    public String operands() {
        return "<trace id>";
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        String traceId = singleOperand(parsed);
        if (!traceId.matches("[0-9a-f]{32}")) {
            throw new UsageException(
                    "'" + traceId + "': expected 32 hexadecimal digits, the second part of traceparent");
        }
        AdminClient adminClient = AdminClient.of(fleet.settings(), terminal.err());
        List<Span> spans = adminClient.read("/traces/" + traceId, Span.class);
        if (spans.isEmpty()) {
            throw new ProgramException("trace " + traceId + ": no admin port returned a span");
        }
        terminal.out().print(SpanTree.render(spans));
    }
}
