package io.persimmonstack.standin.kv;

import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.kv.KvApiMessages.ErrorBody;
import io.persimmonstack.standin.kv.KvApiMessages.Ledger;
import io.persimmonstack.standin.kv.KvApiMessages.RangeRequest;
import io.persimmonstack.standin.kv.KvApiMessages.TxnRequest;
import io.persimmonstack.standin.kv.KvApiMessages.TxnResponse;
import io.persimmonstack.standin.kv.KvApiMessages.WatchCreate;
import io.persimmonstack.standin.kv.KvApiMessages.WatchLine;
import io.persimmonstack.standin.kv.KvApiMessages.WatchRequest;
import io.persimmonstack.standin.kv.KvApiMessages.WatchResult;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of the key-value service. It keeps all data in memory and serves the range, transaction and watch paths of
 * the etcd v3 JSON gateway.
 */
public final class KvStandin implements StandinHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GRPC_INVALID_ARGUMENT = 3;
    /** Longest time that a watch is idle before it gets a progress notification, a result without events. */
    private static final long PROGRESS_INTERVAL_MS = 5_000;

    private final InMemoryMvccStore store = new InMemoryMvccStore();
    private final FaultInjector faults =
            FaultInjector.of(FaultType.DOWN, FaultType.SLOW, FaultType.LOSE_REPLIES, FaultType.SILENT_WATCHES);
    private final CallRateMeter readMeter = new CallRateMeter();
    private final CallRateMeter writeMeter = new CallRateMeter();
    private final CallRateMeter watchMeter = new CallRateMeter();
    private final AtomicInteger openWatches = new AtomicInteger();

    private KvStandin() {}

    /** Returns a stand-in with an empty store. */
    public static KvStandin create() {
        return new KvStandin();
    }

    /** Returns the fault injector of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    @Override
    public void handle(StandinExchange exchange) throws IOException, InterruptedException {
        if (faults.serveControlRequest(exchange, this::ledger)) {
            return;
        }
        faults.failIfDown();
        Optional<FaultOrder> slowFault = faults.trigger(FaultType.SLOW);
        if (slowFault.isPresent()) {
            Thread.sleep(slowFault.get().delayMs());
        }
        try {
            route(exchange);
        } catch (IllegalArgumentException | NullPointerException e) {
            exchange.respond(BAD_REQUEST, new ErrorBody("invalid argument", GRPC_INVALID_ARGUMENT, e.getMessage()));
        }
    }

    private void route(StandinExchange exchange) throws IOException, InterruptedException {
        switch (exchange.route()) {
            case "POST /v3/kv/range" -> handleRange(exchange);
            case "POST /v3/kv/txn" -> handleTxn(exchange);
            case "POST /v3/watch" -> handleWatch(exchange);
            default -> exchange.respond(NOT_FOUND, new ErrorBody("not found", NOT_FOUND, exchange.route()));
        }
    }

    private void handleRange(StandinExchange exchange) throws IOException {
        readMeter.mark();
        exchange.respond(OK, store.range(exchange.parseBody(RangeRequest.class).orElseThrow(KvStandin::invalidBody)));
    }

    private void handleTxn(StandinExchange exchange) throws IOException {
        TxnRequest request = exchange.parseBody(TxnRequest.class).orElseThrow(KvStandin::invalidBody);
        writeMeter.mark();
        TxnResponse response = store.transact(request);
        if (faults.trigger(FaultType.LOSE_REPLIES).isPresent()) {
            throw new IOException("reply lost by an injected fault");
        }
        exchange.respond(OK, response);
    }

    private void handleWatch(StandinExchange exchange) throws IOException, InterruptedException {
        WatchCreate create = exchange.parseBody(WatchRequest.class)
                .orElseThrow(KvStandin::invalidBody)
                .createRequest();
        watchMeter.mark();
        openWatches.incrementAndGet();
        try {
            streamChanges(exchange.startStream("application/json"), create);
        } finally {
            openWatches.decrementAndGet();
        }
    }

    /** Streams the changes of a watched range until the caller closes the connection or the server stops. */
    private void streamChanges(OutputStream out, WatchCreate create) throws IOException, InterruptedException {
        RangeRequest range = new RangeRequest(create.key(), create.rangeEnd(), null, null);
        String startRevision = create.startRevision();
        long lastRevision = startRevision == null || startRevision.equals("0")
                ? store.revision()
                : Long.parseLong(startRevision) - 1;
        writeLine(out, new WatchResult(store.header(), true, null));
        long lastWriteNanos = System.nanoTime();
        while (true) {
            List<InMemoryMvccStore.KeyChange> changes = store.changesAfter(lastRevision, PROGRESS_INTERVAL_MS);
            if (faults.activeFault(FaultType.SILENT_WATCHES).isPresent()) {
                faults.blockUntilInterrupted();
            }
            List<KvApiMessages.WatchEvent> events = changes.stream()
                    .filter(change -> InMemoryMvccStore.inRange(change.key(), range))
                    .map(InMemoryMvccStore.KeyChange::event)
                    .toList();
            lastRevision = changes.isEmpty() ? lastRevision : changes.getLast().revision();
            boolean progressDue =
                    System.nanoTime() - lastWriteNanos >= TimeUnit.MILLISECONDS.toNanos(PROGRESS_INTERVAL_MS);
            if (!events.isEmpty() || progressDue) {
                writeLine(out, new WatchResult(store.header(), null, events));
                lastWriteNanos = System.nanoTime();
            }
        }
    }

    private static void writeLine(OutputStream out, WatchResult result) throws IOException {
        out.write(StandinExchange.json(new WatchLine(result)));
        out.write('\n');
        out.flush();
    }

    /** Returns the body of {@code GET /ledger}: calls, their highest rates, and the size of the store. */
    private Ledger ledger() {
        return new Ledger(
                readMeter.total(),
                writeMeter.total(),
                watchMeter.total(),
                openWatches.get(),
                readMeter.peakPerSecond(),
                writeMeter.peakPerSecond(),
                store.revision(),
                store.keyCount());
    }

    private static IllegalArgumentException invalidBody() {
        return new IllegalArgumentException("body: expected the request object of this path");
    }
}
