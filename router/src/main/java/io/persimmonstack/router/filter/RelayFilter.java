package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.filter.SseReader.StreamEvent;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.RelayedAnswer;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.Work;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Relays the answer: small ones whole, so that a broken one can be replaced; an engine's stream event by event; large
 * ones in parts with back-pressure.
 */
public final class RelayFilter implements Filter {
    private static final int MAX_HELD_BYTES = 256 << 10;
    private static final int MAX_TAIL_BYTES = 256;
    private static final int UNKNOWN_BODY_BYTES = 1_024;
    private static final int PART_BYTES = 16 << 10;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<String> NOT_RELAYED = Set.of(
            "connection", "content-length", "date", "keep-alive", "trailer", "transfer-encoding", "x-request-id");

    private final RouterMetrics metrics;
    private final int progressMs;

    private RelayFilter(RouterMetrics metrics, int progressMs) {
        this.metrics = metrics;
        this.progressMs = progressMs;
    }

    /**
     * Returns the filter.
     *
     * @param metrics where streams are counted
     * @param progressMs longest wait between two parts of an answer, after the first token of a stream
     * @return the filter
     */
    public static RelayFilter of(RouterMetrics metrics, int progressMs) {
        return new RelayFilter(metrics, progressMs);
    }

    @Override
    public String name() {
        return "relay";
    }

    @Override
    public void handle(Request request, Chain next) throws RouterException, InterruptedException {
        HttpCall call = request.answer();
        try {
            if (isStream(request, call)) {
                relayStream(request, call);
            } else {
                call.shortenProgressTimeout(progressMs);
                relayBody(request, call);
            }
        } catch (IOException e) {
            throw broken(request, e);
        }
        next.proceed(request);
    }

    private static boolean isStream(Request request, HttpCall call) {
        boolean completion = request.work() instanceof Work.Completion;
        return completion && contentType(call).toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    private AttemptException broken(Request request, IOException e) throws InterruptedException {
        if (e.getCause() instanceof HttpFailure failure) {
            return DispatchFilter.failed(request, failure, metrics);
        }
        return new AttemptException(AttemptException.Kind.BROKEN, "answer broke: " + e.getMessage(), e);
    }

    private void relayStream(Request request, HttpCall call) throws IOException, RouterException {
        Reply reply = request.reply();
        boolean resumed = reply.begun();
        if (resumed) {
            metrics.resumes().inc();
        } else {
            reply.begin(call.status(), headers(call));
            request.relayed(RelayedAnswer.stream(call.status(), contentType(call), 0));
        }
        metrics.streamsOpen().inc();
        try {
            relayEvents(request, call, resumed);
            finish(call);
            request.relayed(request.relayed().completed());
            reply.end();
        } finally {
            metrics.streamsOpen().dec();
        }
    }

    private void relayEvents(Request request, HttpCall call, boolean resumed) throws IOException, RouterException {
        SseReader reader = SseReader.of(call.body());
        boolean last = false;
        while (!last) {
            Optional<StreamEvent> read = reader.next();
            if (read.isEmpty()) {
                throw new AttemptException(
                        AttemptException.Kind.BROKEN, "stream of the engine ended before [DONE]", null);
            }
            StreamEvent event = read.get();
            last = event.last();
            if (event.tokens() > 0) {
                call.shortenProgressTimeout(progressMs);
            }
            boolean opening = event.tokens() == 0 && !event.finishes() && !last;
            if (resumed && opening) {
                continue;
            }
            request.reply().write(event.bytes());
            long tokens = request.relayed().tokens() + event.tokens();
            request.relayed(RelayedAnswer.stream(
                    request.relayed().status(), request.relayed().contentType(), tokens));
        }
    }

    /** Reads to the end, so that the connection can be used again. */
    private static void finish(HttpCall call) {
        try {
            call.readAll(MAX_TAIL_BYTES);
        } catch (HttpFailure e) {
            call.cancel();
        }
    }

    private static void relayBody(Request request, HttpCall call) throws IOException, RouterException {
        InputStream body = call.body();
        byte[] held = readHeld(body, call);
        Reply reply = request.reply();
        if (held.length < MAX_HELD_BYTES) {
            request.relayed(RelayedAnswer.whole(call.status(), contentType(call), held));
            reply.whole(call.status(), headers(call), held);
            return;
        }
        reply.begin(call.status(), headers(call));
        request.relayed(RelayedAnswer.stream(call.status(), contentType(call), 0));
        reply.write(held);
        for (byte[] part = body.readNBytes(PART_BYTES); part.length > 0; part = body.readNBytes(PART_BYTES)) {
            reply.write(part);
        }
        request.relayed(request.relayed().completed());
        reply.end();
    }

    /** Reads the body as far as it is held, in a buffer as large as the answer announces. */
    private static byte[] readHeld(InputStream body, HttpCall call) throws IOException {
        byte[] held = new byte[announcedBytes(call)];
        int filled = 0;
        while (filled < MAX_HELD_BYTES) {
            if (filled < held.length) {
                int count = body.read(held, filled, held.length - filled);
                if (count < 0) {
                    break;
                }
                filled += count;
                continue;
            }
            int next = body.read();
            if (next < 0) {
                break;
            }
            held = Arrays.copyOf(held, Math.clamp(held.length * 2L, UNKNOWN_BODY_BYTES, MAX_HELD_BYTES));
            held[filled++] = (byte) next;
        }
        return filled == held.length ? held : Arrays.copyOf(held, filled);
    }

    private static int announcedBytes(HttpCall call) {
        String length = call.header("Content-Length").orElse("");
        return length.matches("[0-9]{1,9}") ? Math.min(MAX_HELD_BYTES, Integer.parseInt(length)) : UNKNOWN_BODY_BYTES;
    }

    private static String contentType(HttpCall call) {
        return call.header("Content-Type").orElse("");
    }

    private static List<Reply.Header> headers(HttpCall call) {
        List<Reply.Header> headers = new ArrayList<>();
        for (HttpHeader header : call.headers()) {
            if (!NOT_RELAYED.contains(header.name().toLowerCase(Locale.ROOT))) {
                headers.add(new Reply.Header(header.name(), header.value()));
            }
        }
        return headers;
    }
}
