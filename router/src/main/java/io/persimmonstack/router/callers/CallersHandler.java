package io.persimmonstack.router.callers;

import io.persimmonstack.backends.http.RequestFraming;
import io.persimmonstack.router.CallersSettings;
import io.persimmonstack.router.filter.IdentifyFilter;
import io.persimmonstack.router.filter.ReceiveFilter;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.ProblemDocument;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.SelfDescription;
import io.persimmonstack.runtime.http.BodyReader;
import io.persimmonstack.runtime.http.ConnectionEnd;
import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.InputRefusal;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.runtime.http.ReceivedRequest;
import io.persimmonstack.runtime.http.RefusalText;
import io.persimmonstack.wire.gen.RouterState;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;

/**
 * Buffers each request on the I/O thread, without blocking, and then handles it on its own virtual thread. Filters may
 * therefore block on queues, claims and targets, while a caller that sends slowly occupies no thread.
 */
public final class CallersHandler implements HttpHandler, AutoCloseable {
    private static final int MAX_REQUEST_ID_CHARACTERS = 128;
    private static final int INCARNATION_RADIX = 36;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Time after which memory is likely to be free: a body must arrive within a few seconds. */
    private static final String RETRY_AFTER_SECONDS = "1";

    private static final Refusal AMBIGUOUS_LENGTH = Refusal.notRun(
            RefusalCode.MALFORMED,
            "body: ambiguous length; expected Content-Length or Transfer-Encoding: chunked, once");
    private static final Refusal MEMORY_IN_USE =
            Refusal.notRun(RefusalCode.OVERLOADED, "memory for received requests is in use");
    private final CallersSettings settings;
    private final RequestHandler requestHandler;
    private final FleetViews views;
    private final SelfDescription self;
    private final ExecutorService executor;
    private final CallerWatch callerWatch = CallerWatch.start();
    private final AtomicLong requestCounter = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final ReceiveMemory memory = ReceiveMemory.ofHeap();
    private final AnswerMemory answers = AnswerMemory.ofHeap();
    private final InputLimits limits;

    private CallersHandler(
            CallersSettings settings,
            RequestHandler requestHandler,
            FleetViews views,
            SelfDescription self,
            ExecutorService executor) {
        this.settings = settings;
        this.limits = new InputLimits(
                settings.maxHeaderBytes(), settings.maxBodyBytes(), settings.receiveTimeoutMs(), settings.idleMs());
        this.requestHandler = requestHandler;
        this.views = views;
        this.self = self;
        this.executor = executor;
    }

    /**
     * Creates the handler.
     *
     * @param settings limits on size and time of a request
     * @param requestHandler runs the filters
     * @param views source of the current fleet view
     * @param self name, incarnation and state of this router
     * @param executor starts a virtual thread for each request
     * @return the handler
     */
    public static CallersHandler of(
            CallersSettings settings,
            RequestHandler requestHandler,
            FleetViews views,
            SelfDescription self,
            ExecutorService executor) {
        return new CallersHandler(settings, requestHandler, views, self, executor);
    }

    /** Returns the limits of requests. */
    InputLimits limits() {
        return limits;
    }

    /** Returns the memory for received requests. */
    ReceiveMemory memory() {
        return memory;
    }

    /** Returns the bytes that are reserved for received requests. */
    public long receivedBytes() {
        return memory.usedBytes();
    }

    /** Returns the bytes of answers that slow callers have not taken. */
    public long untakenBytes() {
        return answers.usedBytes();
    }

    /** Returns the number of requests that are being received or handled. */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        openRequests.incrementAndGet();
        ReceiveMemory.Reservation reservation = memory.open();
        ReceivedRequest request = new ReceivedRequest(reservation::close);
        ReceiveTimeout receiveTimeout = new ReceiveTimeout();
        ConnectionEnd.whenEnded(exchange, () -> {
            openRequests.decrementAndGet();
            receiveTimeout.end();
            request.release();
        });
        if (RequestFraming.isAmbiguous(exchange)) {
            BodyReader.refuse(exchange, refusalText(AMBIGUOUS_LENGTH));
            return;
        }
        if (!reservation.tryAdd(ReceivedRequest.BYTES)) {
            BodyReader.refuse(exchange, refusalText(MEMORY_IN_USE));
            return;
        }
        RequestFraming.checkChunks(exchange);
        receiveTimeout.start(exchange, settings.receiveTimeoutMs());
        BodyReader.read(exchange, limits, memory, reservation, request, new BodyReader.Listener() {
            @Override
            public void received(HttpServerExchange whole, byte[] body) {
                receiveTimeout.end();
                if (CallerWatch.hasDisconnected(whole)) {
                    IoUtils.safeClose(whole.getConnection());
                    return;
                }
                if (!reservation.tryAdd(copiedBytes(whole, body))) {
                    BodyReader.refuse(whole, refusalText(MEMORY_IN_USE));
                    return;
                }
                request.use();
                whole.dispatch(executor, () -> {
                    try {
                        handle(whole, body);
                    } finally {
                        request.release();
                    }
                });
            }

            @Override
            public Optional<RefusalText> refused(InputRefusal refusal) {
                receiveTimeout.end();
                return textOf(refusal);
            }
        });
    }

    /** Returns the size of the copy that is made of a body: that of a completion gets another model name. */
    private static long copiedBytes(HttpServerExchange exchange, byte[] body) {
        return exchange.getRequestPath().equals(ReceiveFilter.COMPLETIONS_PATH) ? body.length : 0;
    }

    /** Returns the answer to refused input; a body that arrives too slowly gets none. */
    private Optional<RefusalText> textOf(InputRefusal refusal) {
        return switch (refusal) {
            case BODY_TOO_LARGE -> {
                String detail = "body: more than " + settings.maxBodyBytes() + " bytes; expected at most that";
                yield Optional.of(refusalText(Refusal.notRun(RefusalCode.BODY_TOO_LARGE, detail)));
            }
            case MEMORY -> Optional.of(refusalText(MEMORY_IN_USE));
            default -> Optional.empty();
        };
    }

    private static RefusalText refusalText(Refusal refusal) {
        Optional<String> retryAfter =
                refusal.code().status() == SERVICE_UNAVAILABLE ? Optional.of(RETRY_AFTER_SECONDS) : Optional.empty();
        return new RefusalText(
                refusal.code().status(), ProblemDocument.MEDIA_TYPE, retryAfter, ProblemDocument.encode(refusal));
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        Map<String, String> headers = lowerCaseHeaders(exchange);
        String routerRequestId = self.node()
                + '-'
                + Long.toString(self.incarnation(), INCARNATION_RADIX)
                + '-'
                + requestCounter.incrementAndGet();
        String callerRequestId = headers.getOrDefault("x-request-id", "");
        UndertowReply reply = UndertowReply.to(
                exchange,
                callerRequestId.isEmpty() ? routerRequestId : callerRequestId,
                settings.slowCallerMs(),
                callerWatch,
                answers);
        if (self.state().get() != RouterState.SERVING) {
            reply.closeConnectionAfterAnswer();
        }
        CallerMessage message = new CallerMessage(
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                exchange.getQueryString(),
                headers,
                body);
        try {
            if (callerRequestId.length() > MAX_REQUEST_ID_CHARACTERS) {
                RequestHandler.sendRefusal(reply, requestIdTooLong(callerRequestId));
            } else if (!answerDiscovery(message, reply)) {
                requestHandler.handle(
                        callerRequestId.isEmpty() ? routerRequestId : callerRequestId + '.' + routerRequestId,
                        message,
                        reply);
            }
        } catch (CallerGoneException e) {
            reply.abort();
        }
    }

    private static Refusal requestIdTooLong(String id) {
        return Refusal.notRun(
                RefusalCode.MALFORMED,
                "X-Request-Id of " + id.length() + " characters; expected at most " + MAX_REQUEST_ID_CHARACTERS);
    }

    /** Answers {@code /v1/addresses} and {@code /v1/models}; returns false for any other request. */
    private boolean answerDiscovery(CallerMessage message, Reply reply) throws CallerGoneException {
        if (!message.method().equals("GET")) {
            return false;
        }
        FleetView view = views.current();
        if (message.path().equals("/v1/addresses")) {
            boolean leaving = self.state().get() != RouterState.SERVING;
            sendJson(reply, DiscoveryDocuments.addresses(view, leaving ? self.node() : "", settings.keepForMs()));
            return true;
        }
        if (message.path().equals("/v1/models")) {
            answerModels(message, view, reply);
            return true;
        }
        return false;
    }

    private static void answerModels(CallerMessage message, FleetView view, Reply reply) throws CallerGoneException {
        try {
            sendJson(reply, DiscoveryDocuments.models(view, IdentifyFilter.identify(message, view.configuration())));
        } catch (RefusalException e) {
            RequestHandler.sendRefusal(reply, e.refusal());
        }
    }

    private static void sendJson(Reply reply, byte[] document) throws CallerGoneException {
        reply.whole(200, List.of(new Reply.Header("Content-Type", "application/json")), document);
    }

    /** Returns the headers by lower-case name; repeated ones are joined with commas. */
    private static Map<String, String> lowerCaseHeaders(HttpServerExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            headers.put(name, String.join(", ", values));
        }
        return headers;
    }

    @Override
    public void close() {
        callerWatch.close();
    }
}
