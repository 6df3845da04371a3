package io.persimmonstack.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.ctl.explain.JsonText;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;

/** Asks a node where a request would go now, and why; the request is not sent. */
public final class ExplainRequestCommand implements NodeCommand {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    /** Timeouts for connecting, for the first byte and between bytes, in milliseconds. */
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 2_000, 2_000);

    /** Options that are passed on to the node if they are given. */
    private static final List<String> PASSED_ON = List.of("model", "tokens", "prompt-parts", "workspace", "zone");

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Override
    public String name() {
        return "explain-request";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.REQUESTS;
    }

    @Override
    public String summary() {
        return "Explains where a node would send a request now, without sending it.";
    }

    @Override
    public Options addOptions(Options options) {
        return options.section("Node")
                .value("node", "ip:port", "metrics address of the node to ask")
                .value("zone", "zone", "fails if the node is in another zone")
                .section("Request")
                .value("host", "host", "Host header")
                .value("path", "path", "path without query")
                .value("model", "model[/adapter]", "requested model")
                .value("tokens", "prompt,output", "token count")
                .value("prompt-parts", "parts", "parts of the prompt, ID:TOKENS separated by commas")
                .value("workspace", "name", "name of the workspace, never a key");
    }

    @Override
    public void run(ParsedOptions parsed, Terminal terminal) throws RuntimeFailure {
        parsed.rejectOperands();
        String node = parsed.required("node");
        terminal.out().print(JsonText.of(ask(address(node), target(parsed))));
    }

    private static PeerAddress address(String node) throws UsageException {
        try {
            return PeerAddress.parseConnectable(node);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--node: " + node + "; expected ip:port", e);
        }
    }

    private static String target(ParsedOptions parsed) throws UsageException {
        StringJoiner query = new StringJoiner("&", "/explain?", "");
        query.add("host=" + encoded(parsed.required("host")));
        query.add("path=" + encoded(parsed.required("path")));
        for (String name : PASSED_ON) {
            Optional<String> value = parsed.value(name);
            value.ifPresent(given -> query.add(name + "=" + encoded(given)));
        }
        return query.toString();
    }

    private static String encoded(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    private static JsonNode ask(PeerAddress node, String target) throws RuntimeFailure {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
                HttpCall call = connector.open(node, HttpRequest.get(target), TIMEOUTS)) {
            byte[] body = call.readAll(MAX_ANSWER_BYTES);
            if (call.status() == STATUS_BAD_REQUEST) {
                throw new UsageException(new String(body, StandardCharsets.UTF_8).strip());
            }
            if (call.status() != STATUS_OK) {
                throw new ProgramException(node + ": answered with status " + call.status());
            }
            return MAPPER.readTree(body);
        } catch (HttpFailure | IOException e) {
            throw new ProgramException(node + ": no answer: " + e.getMessage(), e);
        }
    }
}
