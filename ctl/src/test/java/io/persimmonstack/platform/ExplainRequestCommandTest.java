package io.persimmonstack.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.ctl.PersimmonCtl;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.ExitCode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The command asks a real node between a fake store and fake runners. In the package of the fixture, which is not
 * public.
 */
class ExplainRequestCommandTest extends NodeFixture {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... options) {
        out.reset();
        err.reset();
        Terminal terminal = new Terminal(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        List<String> arguments = new ArrayList<>(
                List.of("explain-request", "--node", settings.metricsAddress().toString()));
        arguments.addAll(List.of(options));
        return PersimmonCtl.of(terminal, ctlSettings -> {
                    throw new IllegalStateException("no store is needed");
                })
                .run(arguments.toArray(String[]::new));
    }

    @Test
    void printsTheChoiceOfARealNodeAndWhatIsWrongWithAnArgument() throws Exception {
        FakeRunner runner = startRunner("e1", "models", "m1");
        awaitServing();
        awaitTrue("model runner known", () -> sendStream("chat", "m1").statusCode() == 200);
        int executed = runner.executedRequests().size();
        assertEquals(ExitCode.OK, run("--host", "h", "--path", "/chat/x", "--model", "m1", "--tokens", "100,50"));
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("choice: e1"), text);
        assertTrue(text.contains("usable"), text);
        assertEquals(ExitCode.USAGE, run("--host", "h", "--path", "/chat/x", "--tokens", "many"));
        assertEquals(
                "persimmonctl: tokens: many; expected PROMPT,OUTPUT in tokens\n", err.toString(StandardCharsets.UTF_8));
        assertEquals(ExitCode.USAGE, run("--host", "h", "--path", "/chat/x", "--zone", "z-b"));
        assertEquals(executed, runner.executedRequests().size());
    }
}
