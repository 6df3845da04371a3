package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.PresentedKey;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.AnswerHead;
import io.persimmonstack.node.sending.RunnerProtocol;
import io.persimmonstack.node.sending.SendOptions;
import io.persimmonstack.router.request.Reply;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against refusals that do not tell callers when to come back, or that ask for that where it is pointless. */
class RefusalAnswerTest {
    /** Refuses every request in the same way. */
    private record RefusingProtocol(Refusal refusal) implements RunnerProtocol {
        @Override
        public long decodedBytes(RawRequest raw) {
            return 0;
        }

        @Override
        public CallerRequest decode(RawRequest raw) throws RefusedException {
            throw new RefusedException(refusal);
        }

        @Override
        public PresentedKey presentedKey(CallerRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CallerRequest withWorkspace(CallerRequest request, Optional<String> workspace) {
            throw new UnsupportedOperationException();
        }

        @Override
        public HttpRequest encode(CallerRequest request, SendOptions options) {
            throw new UnsupportedOperationException();
        }

        @Override
        public AnswerHead classify(int status, List<HttpHeader> headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RunnerNotice notice(int status, List<HttpHeader> headers) {
            throw new UnsupportedOperationException();
        }
    }

    /** Writes whole answers down. */
    private static final class RecordingReply implements Reply {
        private final List<String> lines = new ArrayList<>();

        @Override
        public void whole(int status, List<Header> headers, byte[] body) {
            lines.add(Integer.toString(status));
            headers.forEach(header -> lines.add(header.name() + ": " + header.value()));
            lines.add(new String(body, StandardCharsets.UTF_8).strip());
        }

        @Override
        public void begin(int status, List<Header> headers) {}

        @Override
        public void write(byte[] part) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public boolean begun() {
            return false;
        }

        @Override
        public void onCallerGone(Runnable action) {}
    }

    private static List<String> answer(Refusal refusal) {
        RequestServer server = RequestServer.of(
                FleetView.create(),
                new RefusingProtocol(refusal),
                null,
                NodeMetrics.in(new MetricRegistry()),
                DrainState.withGracePeriod(1_000),
                null,
                null,
                null,
                1_000);
        RecordingReply reply = new RecordingReply();
        server.serve(new RawRequest("GET", "/", "/", List.of(), new byte[0]), System.nanoTime(), reply);
        return reply.lines;
    }

    @Test
    void requestOverItsCapIsToldWhenToComeBack() {
        assertEquals(
                List.of("429", "Content-Type: text/plain", "Retry-After: 1.31", "over-cap"),
                answer(Refusal.overCap("w1", 1_304)));
        assertEquals(
                List.of("429", "Content-Type: text/plain", "Retry-After: 0.01", "over-cap"),
                answer(Refusal.overCap("w1", 1)));
    }

    @Test
    void requestWithoutKeyIsToldTheScheme() {
        assertEquals(
                List.of("401", "Content-Type: text/plain", "WWW-Authenticate: Bearer", "key-absent"),
                answer(Refusal.unauthorized("key-absent", "no Authorization header")));
    }

    @Test
    void otherRefusalsAreAsBefore() {
        assertEquals(
                List.of("503", "Content-Type: text/plain", "Retry-After: 0.30", "no-place"),
                answer(Refusal.notRun("no-place", "d", 300)));
        assertEquals(List.of("404", "Content-Type: text/plain", "no-route"), answer(Refusal.noRoute("d")));
        assertEquals(List.of("504", "Content-Type: text/plain", "timeout"), answer(Refusal.timeout("d")));
    }
}
