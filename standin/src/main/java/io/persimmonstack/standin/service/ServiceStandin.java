package io.persimmonstack.standin.service;

import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.hosts.HostedTarget;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.ledger.RunTracker;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a plain service instance. It runs every call, records the run and describes the call in its response. */
public final class ServiceStandin implements StandinHandler, HostedTarget {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private final String name;
    private final ServiceGroup settings;
    private final RunTracker runTracker;
    private final FaultInjector faults = FaultInjector.of(FaultType.SILENT, FaultType.LOSE_REPLIES, FaultType.SLOW);
    private final AtomicLong callCount = new AtomicLong();
    private volatile boolean leaving;
    private volatile boolean gone;

    private ServiceStandin(String name, ServiceGroup settings, RunTracker runTracker) {
        this.name = name;
        this.settings = settings;
        this.runTracker = runTracker;
    }

    /** Returns an instance that records its runs in the given tracker. */
    public static ServiceStandin create(String name, ServiceGroup settings, RunTracker runTracker) {
        return new ServiceStandin(name, settings, runTracker);
    }

    /** Returns the fault injector of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Returns the body of {@code GET /ledger}: the number of calls that ran here. */
    public Record ledger() {
        return new Ledger(name, callCount.get());
    }

    private record Ledger(String instance, long callsRun) {}

    private record Answer(String service, String instance, String call, String requestId, String idempotencyKey) {}

    private record ErrorBody(String error) {}

    @Override
    public void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    @Override
    public void setGone(boolean isGone) {
        gone = isGone;
    }

    @Override
    public void handle(StandinExchange exchange) throws IOException, InterruptedException {
        if (faults.serveControlRequest(exchange, this::ledger)) {
            return;
        }
        if (gone) {
            throw new IOException("the instance is dead: its host is gone");
        }
        Optional<String> requestId = exchange.header("X-Request-Id");
        requestId.ifPresent(id -> exchange.setHeader("X-Request-Id", id));
        if (leaving) {
            exchange.setHeader("X-Leaving", "true");
            exchange.respond(SERVICE_UNAVAILABLE, new ErrorBody(name + " is leaving"));
            return;
        }
        runCall(exchange, requestId);
    }

    /** Runs a call: takes effect first, then waits for the latency and responds, unless a fault loses the response. */
    private void runCall(StandinExchange exchange, Optional<String> requestId)
            throws IOException, InterruptedException {
        exchange.readBody();
        Optional<String> key = exchange.header("Idempotency-Key");
        callCount.incrementAndGet();
        runTracker.recordRun(new RunTracker.Run(name, requestId, key));
        int extraMs = faults.trigger(FaultType.SLOW).map(FaultOrder::delayMs).orElse(0);
        Thread.sleep(settings.latencyMs() + extraMs);
        faults.blockIfSilent(exchange.connection());
        if (gone || faults.trigger(FaultType.LOSE_REPLIES).isPresent()) {
            throw new IOException("reply lost by an injected fault");
        }
        String call = exchange.route();
        exchange.respond(OK, new Answer(settings.name(), name, call, requestId.orElse(null), key.orElse(null)));
    }
}
