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
final class Caller {
    private static final int CONNECT_MS = 500;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int OK = 200;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final HttpConnector connector;
    private final String key;
    private final int deadlineMs;
    private final int graceMs;

    private Caller(HttpConnector connector, String key, int deadlineMs, int graceMs) {
        this.connector = connector;
        this.key = key;
        this.deadlineMs = deadlineMs;
        this.graceMs = graceMs;
    }

    static Caller of(HttpConnector connector, String key, int deadlineMs, int graceMs) {
        return new Caller(connector, key, deadlineMs, graceMs);
    }

    /** Reads the answer of one kind of request. */
    interface Reader {
        /** Reads a whole answer; {@code startNanos} is the intended start of the request. */
        Outcome read(HttpCall call, long startNanos) throws HttpFailure, IOException;
    }

    Outcome send(List<PeerAddress> order, HttpRequest request, String requestId, Reader reader) {
        long startNanos = System.nanoTime();
        HttpRequest complete = request.with("Authorization", "Bearer " + key)
                .with("X-Deadline-Ms", Integer.toString(deadlineMs))
                .with("X-Request-Id", requestId);
        Outcome last = new Outcome.NotSent("no address");
        for (PeerAddress address : order) {
            last = sendTo(address, complete, startNanos, reader);
            if (!(last instanceof Outcome.NotSent)) {
                return last;
            }
        }
        return last;
    }

    private Outcome sendTo(PeerAddress address, HttpRequest request, long startNanos, Reader reader) {
        int waitMs = deadlineMs + graceMs;
        try (HttpCall call = connector.open(address, request, HttpTimeouts.of(CONNECT_MS, waitMs, waitMs))) {
            if (call.status() != OK) {
                return refusal(call);
            }
            String wanted = request.header("X-Request-Id").orElse("");
            String got = call.header("X-Request-Id").orElse("");
            return got.equals(wanted)
                    ? reader.read(call, startNanos)
                    : new Outcome.Wrong("X-Request-Id '" + got + "' for '" + wanted + "'");
        } catch (HttpFailure e) {
            return e.sent() ? new Outcome.Dropped(e.getMessage()) : new Outcome.NotSent(e.getMessage());
        } catch (IOException e) {
            return new Outcome.Dropped(e.getMessage());
        }
    }

    private static Outcome refusal(HttpCall call) throws HttpFailure, IOException {
        byte[] body = call.readAll(MAX_ANSWER_BYTES);
        boolean problem = call.header("Content-Type").orElse("").startsWith("application/problem+json");
        if (!problem) {
            return new Outcome.Wrong("status " + call.status() + " without a problem document");
        }
        JsonNode document = MAPPER.readTree(body);
        return new Outcome.Refused(
                document.path("code").asText("none"), document.path("ran").asText("none"));
    }

    static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
