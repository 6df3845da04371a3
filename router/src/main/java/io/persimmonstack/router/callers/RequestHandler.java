package io.persimmonstack.router.callers;

import io.opentelemetry.context.Context;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.filter.FilterChain;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.ProblemDocument;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.RefusalLog;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.trace.Tracing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs the filters for a request and turns their exceptions into replies. */
public final class RequestHandler {
    private static final EventLog LOG = EventLog.of(RequestHandler.class);
    private static final String EVENT_STREAM = "text/event-stream";
    private final FilterChain chain;
    private final Tracing tracing;
    private final RefusalLog refusalLog;

    private RequestHandler(FilterChain chain, Tracing tracing, RefusalLog refusalLog) {
        this.chain = chain;
        this.tracing = tracing;
        this.refusalLog = refusalLog;
    }

    /**
     * Returns a handler.
     *
     * @param chain filters that every request passes
     * @param tracing reads the caller's trace headers
     * @param refusalLog keeps the latest refusals for operators
     * @return the handler
     */
    public static RequestHandler of(FilterChain chain, Tracing tracing, RefusalLog refusalLog) {
        return new RequestHandler(chain, tracing, refusalLog);
    }

    /**
     * Handles a request until its reply is complete or its connection is closed.
     *
     * @param id identifier sent to targets, unique over all routers
     * @param message request of the caller
     * @param reply reply to the caller
     */
    public void handle(String id, CallerMessage message, Reply reply) {
        Context trace = tracing.extract(message.headers());
        Request request = Request.arrived(id, message, reply, trace);
        Thread handlerThread = Thread.currentThread();
        reply.onCallerGone(() -> cancel(request, handlerThread));
        try {
            chain.proceed(request);
        } catch (RefusalException e) {
            refuse(request, e.refusal());
        } catch (CallerGoneException e) {
            reply.abort();
        } catch (InterruptedException e) {
            reply.abort();
        } catch (RouterException | RuntimeException e) {
            LOG.write(RouterEvent.REQUEST_FAILED, id, e.toString(), e);
            refuse(request, Refusal.unknown(RefusalCode.INTERNAL, "request " + id + " met an unexpected error"));
        }
    }

    /** Interrupts the handling thread of a caller that disconnected, unless the request must run to its end. */
    private static void cancel(Request request, Thread handlerThread) {
        if (request.cancellable()) {
            handlerThread.interrupt();
        }
    }

    /** Sends the refusal as the answer or, in a stream that has begun, as an error event; else disconnects. */
    private void refuse(Request request, Refusal refusal) {
        refusalLog.add(request, refusal);
        try {
            if (!request.reply().begun()) {
                sendRefusal(request.reply(), refusal);
            } else if (request.relayed().contentType().startsWith(EVENT_STREAM)) {
                endStreamWithError(request.reply(), refusal);
            } else {
                request.reply().abort();
            }
        } catch (CallerGoneException e) {
            request.reply().abort();
        }
    }

    /**
     * Sends a refusal as a problem document, with {@code Retry-After} where the refusal says when to retry.
     *
     * @param reply reply that has not begun
     * @param refusal refusal to send
     * @throws CallerGoneException if it could not be written to the caller
     */
    public static void sendRefusal(Reply reply, Refusal refusal) throws CallerGoneException {
        List<Reply.Header> headers = new ArrayList<>();
        headers.add(new Reply.Header("Content-Type", ProblemDocument.MEDIA_TYPE));
        refusal.retryAfterMs()
                .ifPresent(ms -> headers.add(new Reply.Header("Retry-After", Long.toString(ceilToSeconds(ms)))));
        reply.whole(refusal.code().status(), headers, ProblemDocument.encode(refusal));
    }

    private static long ceilToSeconds(long ms) {
        long msPerSecond = TimeUnit.SECONDS.toMillis(1);
        return (ms + msPerSecond - 1) / msPerSecond;
    }

    /** Ends a stream with an error event and without [DONE], so that the caller can tell that it is incomplete. */
    private static void endStreamWithError(Reply reply, Refusal refusal) throws CallerGoneException {
        String problemDocument = new String(ProblemDocument.encode(refusal), StandardCharsets.UTF_8);
        reply.write(("event: error\ndata: " + problemDocument + "\n\n").getBytes(StandardCharsets.UTF_8));
        reply.end();
    }
}
