package io.persimmonstack.standin.service;

import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.hosts.HostedTarget;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.ledger.RunTracker;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** Instance of a plain service that runs each call and says so. */
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

    /** Returns an instance that counts its runs in the given ledger. */
    public static ServiceStandin create(String name, ServiceGroup settings, RunTracker runTracker) {
        return new ServiceStandin(name, settings, runTracker);
    }

    /** Returns the faults of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Returns what this instance saw. */
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
            throw new IOException("the instance died by command");
        }
        Optional<String> requestId = exchange.header("X-Request-Id");
        requestId.ifPresent(id -> exchange.addHeader("X-Request-Id", id));
        if (leaving) {
            exchange.addHeader("X-Leaving", "true");
            exchange.answer(SERVICE_UNAVAILABLE, new ErrorBody(name + " is leaving"));
            return;
        }
        run(exchange, requestId);
    }

    private void run(StandinExchange exchange, Optional<String> requestId) throws IOException, InterruptedException {
        exchange.readBody();
        Optional<String> key = exchange.header("Idempotency-Key");
        callCount.incrementAndGet();
        runTracker.recordRun(new RunTracker.Run(name, requestId, key));
        int extraMs = faults.trigger(FaultType.SLOW).map(FaultOrder::delayMs).orElse(0);
        Thread.sleep(settings.latencyMs() + extraMs);
        faults.blockIfSilent(exchange.connection());
        if (gone || faults.trigger(FaultType.LOSE_REPLIES).isPresent()) {
            throw new IOException("reply lost by command");
        }
        String call = exchange.route();
        exchange.answer(OK, new Answer(settings.name(), name, call, requestId.orElse(null), key.orElse(null)));
    }
}
