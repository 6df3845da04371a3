package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.filter.SseReader.StreamEvent;
import io.persimmonstack.router.request.AnswerPart;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.RelayedAnswer;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.Work;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Relays the answer to the caller. Small answers are buffered completely, so that a truncated one can still be retried;
 * streams of an engine are relayed event by event; large answers are relayed in chunks with back-pressure.
 */
public final class RelayFilter implements Filter {
    private static final int MAX_BUFFERED_BYTES = 256 << 10;
    /** Bytes that may follow the last event of a stream for its connection to be reused. */
    private static final int MAX_TAIL_BYTES = 256;
    /** Most bytes of the events before the first token of a stream. */
    private static final int MAX_OPENING_BYTES = 64 << 10;
    /** Initial buffer size for answers without a content length. */
    private static final int DEFAULT_BUFFER_BYTES = 1_024;

    private static final int CHUNK_BYTES = 16 << 10;
    static final String EVENT_STREAM = "text/event-stream";
    private static final Set<String> SKIPPED_HEADERS = Set.of(
            "connection",
            "content-length",
            "date",
            "keep-alive",
            "trailer",
            "transfer-encoding",
            "x-request-id",
            DispatchFilter.SOFTWARE_VERSION.toLowerCase(Locale.ROOT));

    private final RouterMetrics metrics;
    private final int progressMs;

    private RelayFilter(RouterMetrics metrics, int progressMs) {
        this.metrics = metrics;
        this.progressMs = progressMs;
    }

    /**
     * Returns the filter.
     *
     * @param metrics counts open and resumed streams
     * @param progressMs timeout for the end of a stream after its last event
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
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        HttpCall call = request.answer();
        try {
            if (isStream(request, call)) {
                relayStream(request, call);
            } else if (request.reply().begun()) {
                throw new AttemptException(
                        AttemptException.Kind.BROKEN,
                        "rest of a stream has media type '" + contentType(call) + "'; expected " + EVENT_STREAM,
                        null);
            } else {
                request.awaitedPart(AnswerPart.BODY);
                relayBody(request, call);
            }
        } catch (IOException e) {
            throw toAttemptException(request, e);
        }
        next.proceed(request);
    }

    private static boolean isStream(Request request, HttpCall call) {
        boolean completion = request.work() instanceof Work.Completion;
        return completion && contentType(call).toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    private AttemptException toAttemptException(Request request, IOException e) throws InterruptedException {
        if (e.getCause() instanceof HttpFailure failure) {
            return DispatchFilter.toAttemptException(request, failure, metrics);
        }
        return new AttemptException(AttemptException.Kind.BROKEN, "answer broke: " + e.getMessage(), e);
    }

    /** Relays an event stream; the reply has begun already if this attempt resumes a broken stream. */
    private void relayStream(Request request, HttpCall call) throws IOException, RouterException {
        Reply reply = request.reply();
        boolean resumed = reply.begun();
        if (resumed) {
            metrics.resumes().inc();
        } else {
            reply.begin(call.status(), relayedHeaders(call));
            request.relayed(RelayedAnswer.stream(call.status(), contentType(call), 0));
        }
        metrics.streamsOpen().inc();
        try {
            request.awaitedPart(AnswerPart.FIRST_TOKEN);
            relayEvents(request, call);
            request.awaitedPart(AnswerPart.END);
            call.shortenProgressTimeout(progressMs);
            drain(call);
            request.relayed(request.relayed().completed());
            reply.end();
        } finally {
            metrics.streamsOpen().dec();
        }
    }

    /**
     * Relays events up to the last one. Those before the first token are held back until it comes, so that none of an
     * attempt that fails before stays in the answer. A resumed stream repeats them, and there they are left out.
     */
    private static void relayEvents(Request request, HttpCall call) throws IOException, RouterException {
        SseReader reader = SseReader.of(call.body());
        ByteArrayOutputStream opening = new ByteArrayOutputStream();
        boolean openingRelayed = request.targetFilter().origin().isPresent();
        StreamEvent event = nextEvent(reader);
        while (isOpening(event)) {
            if (!openingRelayed) {
                opening.write(event.bytes());
            }
            if (opening.size() > MAX_OPENING_BYTES) {
                throw broken("has more than " + MAX_OPENING_BYTES + " bytes before its first token");
            }
            event = nextEvent(reader);
        }
        request.bindToAnswerOrigin();
        request.answerBegun();
        if (opening.size() > 0) {
            request.reply().write(opening.toByteArray());
        }
        relay(request, event);
        while (!event.last()) {
            event = nextEvent(reader);
            relay(request, event);
        }
    }

    private static StreamEvent nextEvent(SseReader reader) throws IOException, AttemptException {
        return reader.next().orElseThrow(() -> broken("ended before [DONE]"));
    }

    private static boolean isOpening(StreamEvent event) {
        return event.tokens() == 0 && !event.hasFinishReason() && !event.last();
    }

    private static void relay(Request request, StreamEvent event) throws RouterException {
        if (event.tokens() > 0) {
            request.awaitedPart(AnswerPart.BODY);
        }
        request.reply().write(event.bytes());
        RelayedAnswer relayed = request.relayed();
        request.relayed(
                RelayedAnswer.stream(relayed.status(), relayed.contentType(), relayed.tokens() + event.tokens()));
    }

    private static AttemptException broken(String problem) {
        return new AttemptException(AttemptException.Kind.BROKEN, "stream of the engine " + problem, null);
    }

    /** Reads the rest of the body, so that the connection can be reused. */
    private static void drain(HttpCall call) {
        try {
            call.readAll(MAX_TAIL_BYTES);
        } catch (HttpFailure e) {
            call.cancel();
        }
    }

    /** Relays an answer that is not an event stream: whole if it is small enough, else in chunks. */
    private static void relayBody(Request request, HttpCall call) throws IOException, RouterException {
        InputStream body = call.body();
        byte[] buffered = readBuffered(body, call);
        request.answerBegun();
        Reply reply = request.reply();
        if (buffered.length < MAX_BUFFERED_BYTES) {
            request.relayed(RelayedAnswer.whole(call.status(), contentType(call), buffered));
            reply.whole(call.status(), relayedHeaders(call), buffered);
            return;
        }
        reply.begin(call.status(), relayedHeaders(call));
        request.relayed(RelayedAnswer.stream(call.status(), contentType(call), 0));
        reply.write(buffered);
        for (byte[] chunk = body.readNBytes(CHUNK_BYTES); chunk.length > 0; chunk = body.readNBytes(CHUNK_BYTES)) {
            reply.write(chunk);
        }
        request.relayed(request.relayed().completed());
        reply.end();
    }

    /** Reads the body, or its first {@value #MAX_BUFFERED_BYTES} bytes, into a buffer sized by the content length. */
    private static byte[] readBuffered(InputStream body, HttpCall call) throws IOException {
        byte[] buffered = new byte[initialBufferBytes(call)];
        int length = 0;
        while (length < MAX_BUFFERED_BYTES) {
            if (length < buffered.length) {
                int count = body.read(buffered, length, buffered.length - length);
                if (count < 0) {
                    break;
                }
                length += count;
                continue;
            }
            int nextByte = body.read();
            if (nextByte < 0) {
                break;
            }
            buffered =
                    Arrays.copyOf(buffered, Math.clamp(buffered.length * 2L, DEFAULT_BUFFER_BYTES, MAX_BUFFERED_BYTES));
            buffered[length++] = (byte) nextByte;
        }
        return length == buffered.length ? buffered : Arrays.copyOf(buffered, length);
    }

    private static int initialBufferBytes(HttpCall call) {
        String contentLength = call.header("Content-Length").orElse("");
        return contentLength.matches("[0-9]{1,9}")
                ? Math.min(MAX_BUFFERED_BYTES, Integer.parseInt(contentLength))
                : DEFAULT_BUFFER_BYTES;
    }

    private static String contentType(HttpCall call) {
        return call.header("Content-Type").orElse("");
    }

    private static List<Reply.Header> relayedHeaders(HttpCall call) {
        List<Reply.Header> headers = new ArrayList<>();
        for (HttpHeader header : call.headers()) {
            if (!SKIPPED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
                headers.add(new Reply.Header(header.name(), header.value()));
            }
        }
        return headers;
    }
}
