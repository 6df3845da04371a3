package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.runtime.trace.Tracing;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Builds the requests that are sent to targets. */
final class TargetRequestBuilder {
    /** Headers of the caller that are not forwarded: hop-by-hop headers and those that the router sets or consumes. */
    private static final Set<String> SKIPPED_HEADERS = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "idempotency-key",
            "keep-alive",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "traceparent",
            "tracestate",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-deployment",
            "x-request-id");

    private final Tracing tracing;

    private TargetRequestBuilder(Tracing tracing) {
        this.tracing = tracing;
    }

    static TargetRequestBuilder of(Tracing tracing) {
        return new TargetRequestBuilder(tracing);
    }

    /** Returns the request for the current attempt; a resumed stream names the number of tokens already relayed. */
    HttpRequest build(Request request) {
        return switch (request.work()) {
            case Work.Completion completion -> completionRequest(request, completion);
            case Work.ServiceCall call ->
                new HttpRequest(
                        request.message().method(),
                        call.path(),
                        serviceHeaders(request),
                        request.message().body());
        };
    }

    private HttpRequest completionRequest(Request request, Work.Completion completion) {
        List<HttpHeader> headers = commonHeaders(request);
        headers.add(HttpHeader.of("Content-Type", "application/json"));
        headers.add(HttpHeader.of("X-Priority", Integer.toString(request.priority())));
        if (request.relayed().tokens() > 0) {
            headers.add(HttpHeader.of(
                    "X-Resume-From", Long.toString(request.relayed().tokens())));
        }
        return new HttpRequest("POST", ReceiveFilter.COMPLETIONS_PATH, headers, completion.body());
    }

    /** Returns the caller's headers to forward, without those listed in its {@code Connection} header. */
    private List<HttpHeader> serviceHeaders(Request request) {
        List<HttpHeader> headers = commonHeaders(request);
        CallerMessage message = request.message();
        String connectionHeader = message.header("connection").orElse("").toLowerCase(Locale.ROOT);
        message.headers().forEach((name, value) -> {
            boolean skipped = SKIPPED_HEADERS.contains(name) || connectionHeader.contains(name);
            if (!skipped && !name.equals("x-deadline-ms") && !name.equals("x-priority")) {
                headers.add(HttpHeader.of(name, value));
            }
        });
        headers.add(HttpHeader.of("X-Priority", Integer.toString(request.priority())));
        return headers;
    }

    /** Returns the headers of both kinds of requests: identifier, remaining time, idempotency key and trace. */
    private List<HttpHeader> commonHeaders(Request request) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(HttpHeader.of("X-Request-Id", request.id()));
        headers.add(HttpHeader.of("X-Deadline-Ms", Long.toString(request.remainingMs())));
        request.idempotencyKey().ifPresent(key -> headers.add(HttpHeader.of("Idempotency-Key", key)));
        tracing.inject(request.trace()).forEach((name, value) -> headers.add(HttpHeader.of(name, value)));
        return headers;
    }
}
