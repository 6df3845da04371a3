package io.persimmonstack.router.callers;

import io.persimmonstack.backends.http.RequestFraming;
import io.persimmonstack.router.CallersSettings;
import io.persimmonstack.router.filter.IdentifyFilter;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.SelfDescription;
import io.persimmonstack.wire.gen.RouterState;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Buffers each request on the I/O thread, without blocking, and then handles it on its own virtual thread. Filters may
 * therefore block on queues, claims and targets, while a caller that sends slowly occupies no thread.
 */
public final class CallersHandler implements HttpHandler, AutoCloseable {
    private static final int MAX_REQUEST_ID_CHARACTERS = 128;
    private static final int INCARNATION_RADIX = 36;
    private final CallersSettings settings;
    private final RequestHandler requestHandler;
    private final FleetViews views;
    private final SelfDescription self;
    private final ExecutorService executor;
    private final CallerWatch callerWatch = CallerWatch.start();
    private final AtomicLong requestCounter = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();

    private CallersHandler(
            CallersSettings settings,
            RequestHandler requestHandler,
            FleetViews views,
            SelfDescription self,
            ExecutorService executor) {
        this.settings = settings;
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

    /** Returns the number of requests that are being received or handled. */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        openRequests.incrementAndGet();
        Runnable release = runOnce(openRequests::decrementAndGet);
        exchange.addExchangeCompleteListener((done, next) -> {
            release.run();
            next.proceed();
        });
        exchange.getConnection().addCloseListener(closed -> release.run());
        if (RequestFraming.isAmbiguous(exchange)) {
            exchange.dispatch(executor, () -> refuseAmbiguousLength(exchange));
            return;
        }
        RequestFraming.checkChunks(exchange);
        XnioExecutor.Key receiveTimeout = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        settings.receiveTimeoutMs(),
                        java.util.concurrent.TimeUnit.MILLISECONDS);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(settings.maxBodyBytes());
        receiver.receiveFullBytes(
                (received, body) -> {
                    receiveTimeout.remove();
                    received.dispatch(executor, () -> handle(received, body));
                },
                (failed, e) -> {
                    receiveTimeout.remove();
                    failed.dispatch(executor, () -> handleReceiveFailure(failed, e));
                });
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
                callerWatch);
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

    /** Wraps an action so that it runs once: a request ends with its exchange or its connection, whichever is first. */
    private static Runnable runOnce(Runnable action) {
        AtomicBoolean ran = new AtomicBoolean();
        return () -> {
            if (ran.compareAndSet(false, true)) {
                action.run();
            }
        };
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

    private void refuseAmbiguousLength(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        UndertowReply reply = UndertowReply.to(exchange, "", settings.slowCallerMs(), callerWatch);
        String detail = "body: ambiguous length; expected Content-Length or Transfer-Encoding: chunked, once";
        sendRefusal(reply, Refusal.notRun(RefusalCode.MALFORMED, detail));
    }

    /** Refuses a body that is too large; any other failure to receive the request closes the connection. */
    private void handleReceiveFailure(HttpServerExchange exchange, IOException e) {
        UndertowReply reply = UndertowReply.to(exchange, "", settings.slowCallerMs(), callerWatch);
        boolean tooLarge =
                e instanceof Receiver.RequestToLargeException || e instanceof io.undertow.server.RequestTooBigException;
        if (!tooLarge) {
            reply.abort();
            return;
        }
        exchange.setPersistent(false);
        String detail = "body: more than " + settings.maxBodyBytes() + " bytes; expected at most that";
        sendRefusal(reply, Refusal.notRun(RefusalCode.BODY_TOO_LARGE, detail));
    }

    private static void sendRefusal(UndertowReply reply, Refusal refusal) {
        try {
            RequestHandler.sendRefusal(reply, refusal);
        } catch (CallerGoneException e) {
            reply.abort();
        }
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
