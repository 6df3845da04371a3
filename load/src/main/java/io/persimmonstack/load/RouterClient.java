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

/**
 * Sends requests to the routers as an external caller does. Tries another router only if the request was certainly not
 * sent, so that one request is never sent twice. Thread-safe.
 */
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

    /**
     * Creates a client.
     *
     * @param connector opens the connections
     * @param callerKey key that identifies the caller to the routers
     * @param deadlineMs deadline of each request, in milliseconds, sent to the router
     * @param graceMs time after the deadline during which the client still waits for the answer, in milliseconds
     * @return the client
     */
    static RouterClient of(HttpConnector connector, String callerKey, int deadlineMs, int graceMs) {
        return new RouterClient(connector, callerKey, deadlineMs, graceMs);
    }

    /** Reads and checks the successful answer to one kind of request. */
    interface AnswerReader {
        /** Reads an answer to its end; {@code startNanos} is the {@link System#nanoTime()} at which sending began. */
        RequestOutcome read(HttpCall call, long startNanos) throws HttpFailure, IOException;
    }

    /** Tries the routers in the given order and returns the outcome at the first one that could be reached. */
    RequestOutcome send(List<PeerAddress> routers, HttpRequest request, String requestId, AnswerReader reader) {
        long startNanos = System.nanoTime();
        HttpRequest completeRequest = request.with("Authorization", "Bearer " + callerKey)
                .with("X-Deadline-Ms", Integer.toString(deadlineMs))
                .with("X-Request-Id", requestId);
        RequestOutcome lastOutcome = new RequestOutcome.NotSent("no router address is known");
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
                    : new RequestOutcome.Incorrect(
                            "X-Request-Id is '" + answeredId + "'; expected '" + expectedId + "'");
        } catch (HttpFailure e) {
            return e.sent() ? new RequestOutcome.Dropped(e.getMessage()) : new RequestOutcome.NotSent(e.getMessage());
        } catch (IOException e) {
            return new RequestOutcome.Dropped(e.getMessage());
        }
    }

    /** Reads an error response, which has to be a problem document. */
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

    /** Returns the milliseconds that have passed since a reading of {@link System#nanoTime()}. */
    static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
