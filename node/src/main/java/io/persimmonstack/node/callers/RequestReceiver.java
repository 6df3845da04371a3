package io.persimmonstack.node.callers;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.RequestFraming;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.router.callers.AnswerMemory;
import io.persimmonstack.router.callers.CallerWatch;
import io.persimmonstack.router.callers.UndertowReply;
import io.persimmonstack.runtime.FatalErrors;
import io.persimmonstack.runtime.http.BodyReader;
import io.persimmonstack.runtime.http.ConnectionEnd;
import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.InputRefusal;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.runtime.http.ReceivedRequest;
import io.persimmonstack.runtime.http.RefusalText;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.xnio.IoUtils;

/** Reads each request completely on the I/O thread, then serves it on its own virtual thread. */
public final class RequestReceiver implements HttpHandler, AutoCloseable {
    /** Longest time that a caller may take to read a part of its answer. */
    private static final long CALLER_WRITE_TIMEOUT_MS = 10_000;

    private final RequestServer server;
    private final ExecutorService executor;
    private final BooleanSupplier draining;
    private final CallerWatch callerWatch = CallerWatch.start();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final ReceiveMemory memory;
    private final Supplier<InputLimits> limits;
    private final AnswerMemory answers = AnswerMemory.ofHeap();
    private final Map<Thread, UndertowReply> serving = new ConcurrentHashMap<>();

    private RequestReceiver(
            RequestServer server,
            ExecutorService executor,
            BooleanSupplier draining,
            ReceiveMemory memory,
            Supplier<InputLimits> limits) {
        this.memory = memory;
        this.limits = limits;
        this.server = server;
        this.executor = executor;
        this.draining = draining;
    }

    /**
     * Returns a receiver.
     *
     * @param server serves each request
     * @param executor runs each request on its own virtual thread
     * @param draining returns whether each connection is to be closed after its answer
     * @param memory memory for requests that are received or served
     * @param limits the limits in force
     */
    public static RequestReceiver of(
            RequestServer server,
            ExecutorService executor,
            BooleanSupplier draining,
            ReceiveMemory memory,
            Supplier<InputLimits> limits) {
        return new RequestReceiver(server, executor, draining, memory, limits);
    }

    /** Records input that was refused by a listener. */
    public void inputRefused(InputRefusal refusal) {
        server.refusedInput(refusal);
    }

    /** Returns the bytes of answers that slow callers have not taken. */
    public long untakenBytes() {
        return answers.usedBytes();
    }

    /** Returns the number of requests that are being received or served. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Interrupts the requests whose answer has not begun, so that each of them gets a refusal. */
    public void interruptUnanswered() {
        serving.forEach((thread, reply) -> {
            if (!reply.begun()) {
                thread.interrupt();
            }
        });
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        openRequests.incrementAndGet();
        ReceiveMemory.Reservation reservation = memory.open();
        ReceivedRequest request = new ReceivedRequest(reservation::close);
        ConnectionEnd.whenEnded(exchange, () -> {
            openRequests.decrementAndGet();
            request.release();
        });
        if (RequestFraming.isAmbiguous(exchange)) {
            refuse(exchange, InputRefusal.AMBIGUOUS_LENGTH);
            return;
        }
        if (!reservation.tryAdd(ReceivedRequest.BYTES)) {
            refuse(exchange, InputRefusal.MEMORY);
            return;
        }
        RequestFraming.checkChunks(exchange);
        BodyReader.read(exchange, limits.get(), memory, reservation, request, new BodyReader.Listener() {
            @Override
            public void received(HttpServerExchange received, byte[] body) {
                if (CallerWatch.hasDisconnected(received)) {
                    server.callerLeftEarly();
                    IoUtils.safeClose(received.getConnection());
                    return;
                }
                RawRequest raw = toRawRequest(received, body);
                if (!reservation.tryAdd(server.decodedBytes(raw))) {
                    refuse(received, InputRefusal.MEMORY);
                    return;
                }
                request.use();
                received.dispatch(executor, () -> serve(received, raw, request));
            }

            @Override
            public Optional<RefusalText> refused(InputRefusal refusal) {
                server.refusedInput(refusal);
                return RefusalText.plain(refusal);
            }
        });
    }

    private void refuse(HttpServerExchange exchange, InputRefusal refusal) {
        server.refusedInput(refusal);
        BodyReader.refuse(exchange, RefusalText.plain(refusal).orElseThrow());
    }

    private void serve(HttpServerExchange exchange, RawRequest raw, ReceivedRequest request) {
        long receivedNanos = System.nanoTime();
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        UndertowReply reply =
                UndertowReply.to(exchange, id == null ? "" : id, CALLER_WRITE_TIMEOUT_MS, callerWatch, answers);
        if (draining.getAsBoolean()) {
            reply.closeConnectionAfterAnswer();
        }
        Thread thread = Thread.currentThread();
        reply.onCallerGone(thread::interrupt);
        serving.put(thread, reply);
        try {
            server.serve(raw, receivedNanos, reply);
        } catch (VirtualMachineError e) {
            throw FatalErrors.end(e);
        } finally {
            serving.remove(thread);
            request.release();
        }
    }

    private static RawRequest toRawRequest(HttpServerExchange exchange, byte[] body) {
        String path = exchange.getRequestURI();
        String query = exchange.getQueryString();
        return new RawRequest(
                exchange.getRequestMethod().toString(),
                path,
                query.isEmpty() ? path : path + "?" + query,
                headers(exchange),
                body);
    }

    private static List<HttpHeader> headers(HttpServerExchange exchange) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            values.forEach(
                    value -> headers.add(HttpHeader.of(values.getHeaderName().toString(), value)));
        }
        return headers;
    }

    @Override
    public void close() {
        callerWatch.close();
    }
}
