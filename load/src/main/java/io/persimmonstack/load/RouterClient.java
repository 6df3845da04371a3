package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.util.List;

/** Sends one request as a caller would: to the next address, and to another where it certainly was not sent. */
final class RouterClient {
    private static final int CONNECT_MS = 500;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int HTTP_OK = 200;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final HttpConnector connector;
    private final String callerKey;
    private final int deadlineMs;
    private final int graceMs;

    private RouterClient(HttpConnector connector, String callerKey, int deadlineMs, int graceMs) {
        this.connector = connector;
        this.callerKey = callerKey;
        this.deadlineMs = deadlineMs;
        this.graceMs = graceMs;
    }

    static RouterClient of(HttpConnector connector, String callerKey, int deadlineMs, int graceMs) {
        return new RouterClient(connector, callerKey, deadlineMs, graceMs);
    }

    /** Reads the answer of one kind of request. */
    interface AnswerReader {
        /** Reads a whole answer; {@code startNanos} is the intended start of the request. */
        RequestOutcome read(HttpCall call, long startNanos) throws HttpFailure, IOException;
    }

    RequestOutcome send(List<PeerAddress> routers, HttpRequest request, String requestId, AnswerReader reader) {
        long startNanos = System.nanoTime();
        HttpRequest completeRequest = request.with("Authorization", "Bearer " + callerKey)
                .with("X-Deadline-Ms", Integer.toString(deadlineMs))
                .with("X-Request-Id", requestId);
        RequestOutcome lastOutcome = new RequestOutcome.NotSent("no address");
        for (PeerAddress address : routers) {
            lastOutcome = sendTo(address, completeRequest, startNanos, reader);
            if (!(lastOutcome instanceof RequestOutcome.NotSent)) {
                return lastOutcome;
            }
        }
        return lastOutcome;
    }

    private RequestOutcome sendTo(PeerAddress address, HttpRequest request, long startNanos, AnswerReader reader) {
        int timeoutMs = deadlineMs + graceMs;
        try (HttpCall call = connector.open(address, request, HttpTimeouts.of(CONNECT_MS, timeoutMs, timeoutMs))) {
            if (call.status() != HTTP_OK) {
                return readRefusal(call);
            }
            String expectedId = request.header("X-Request-Id").orElse("");
            String answeredId = call.header("X-Request-Id").orElse("");
            return answeredId.equals(expectedId)
                    ? reader.read(call, startNanos)
                    : new RequestOutcome.Incorrect("X-Request-Id '" + answeredId + "' for '" + expectedId + "'");
        } catch (HttpFailure e) {
            return e.sent() ? new RequestOutcome.Dropped(e.getMessage()) : new RequestOutcome.NotSent(e.getMessage());
        } catch (IOException e) {
            return new RequestOutcome.Dropped(e.getMessage());
        }
    }

    private static RequestOutcome readRefusal(HttpCall call) throws HttpFailure, IOException {
        byte[] body = call.readAll(MAX_ANSWER_BYTES);
        boolean isProblemDocument = call.header("Content-Type").orElse("").startsWith("application/problem+json");
        if (!isProblemDocument) {
            return new RequestOutcome.Incorrect("status " + call.status() + " without a problem document");
        }
        JsonNode problem = MAPPER.readTree(body);
        return new RequestOutcome.Refused(
                problem.path("code").asText("none"), problem.path("ran").asText("none"));
    }

    static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
