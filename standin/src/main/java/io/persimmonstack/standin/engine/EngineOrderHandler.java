package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.Order;
import io.persimmonstack.standin.engine.EngineApiMessages.OrderRefusal;
import io.persimmonstack.standin.engine.EngineApiMessages.OrderStatus;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.weights.WeightStoreSettings.WeightSettings;
import io.persimmonstack.standin.weights.WeightTransferSimulator;
import java.io.IOException;
import java.util.Optional;

/** Handles orders to load and unload models and adapters, and runs the loads on virtual threads. Thread-safe. */
final class EngineOrderHandler {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private final EngineGroup settings;
    private final EngineMemory memory;
    private final WeightTransferSimulator transfers;
    private final FaultInjector faults;
    private final EngineCounters counters;

    EngineOrderHandler(
            EngineGroup settings,
            EngineMemory memory,
            WeightTransferSimulator transfers,
            FaultInjector faults,
            EngineCounters counters) {
        this.settings = settings;
        this.memory = memory;
        this.transfers = transfers;
        this.faults = faults;
        this.counters = counters;
    }

    /** Handles {@code POST /orders/load}: reserves memory, starts the load and responds without waiting for its end. */
    void handleLoad(StandinExchange exchange) throws IOException {
        Optional<Order> body = readOrder(exchange);
        if (body.isEmpty()) {
            return;
        }
        Order order = body.get();
        ModelVersion version = ModelVersion.of(order.model(), order.version());
        Optional<String> adapter = Optional.ofNullable(order.adapter());
        Optional<WeightSettings> weight = transfers.settings().find(version, adapter);
        if (weight.isEmpty()) {
            exchange.respond(NOT_FOUND, new OrderRefusal("no-such-weights", null));
            return;
        }
        long bytes = weight.get().memoryBytes();
        EngineMemory.LoadDecision decision = adapter.isPresent()
                ? memory.beginAdapterLoad(version, adapter.get(), bytes)
                : memory.beginLoad(version, bytes);
        if (decision == EngineMemory.LoadDecision.ACCEPTED) {
            counters.loadsStarted.incrementAndGet();
            startLoad(version, order, weight.get());
        }
        respondToLoad(exchange, decision);
    }

    /**
     * Handles {@code POST /orders/unload}. The unload of a base model responds once the requests in flight have
     * finished and its memory is free.
     */
    void handleUnload(StandinExchange exchange) throws IOException, InterruptedException {
        Optional<Order> body = readOrder(exchange);
        if (body.isEmpty()) {
            return;
        }
        Order order = body.get();
        ModelVersion version = ModelVersion.of(order.model(), order.version());
        counters.unloadOrders.incrementAndGet();
        if (order.adapter() == null) {
            memory.unload(version);
        } else {
            memory.unloadAdapter(version, order.adapter());
        }
        exchange.respond(OK, new OrderStatus("unloaded"));
    }

    /**
     * Reads an order and checks its fencing token; responds with a refusal and returns empty if it is not acceptable.
     */
    private Optional<Order> readOrder(StandinExchange exchange) throws IOException {
        Optional<Order> order = exchange.parseBody(Order.class);
        if (order.isEmpty() || order.get().model() == null || order.get().version() == null) {
            exchange.respond(BAD_REQUEST, new OrderRefusal("not-an-order", null));
            return Optional.empty();
        }
        if (!memory.acceptFencingToken(order.get().fence())) {
            counters.ordersFenced.incrementAndGet();
            exchange.respond(CONFLICT, new OrderRefusal("fenced", memory.highestFencingToken()));
            return Optional.empty();
        }
        return order;
    }

    private void respondToLoad(StandinExchange exchange, EngineMemory.LoadDecision decision) throws IOException {
        switch (decision) {
            case ACCEPTED, IN_PROGRESS -> exchange.respond(ACCEPTED, new OrderStatus("loading"));
            case DONE -> exchange.respond(OK, new OrderStatus("loaded"));
            case NO_MEMORY -> {
                counters.ordersWithoutMemory.incrementAndGet();
                exchange.respond(INSUFFICIENT_STORAGE, new OrderRefusal("no-memory", null));
            }
            case UNLOADING -> exchange.respond(CONFLICT, new OrderRefusal("unloading", null));
            case NO_BASE -> exchange.respond(CONFLICT, new OrderRefusal("no-base", null));
            default ->
                throw new IllegalStateException(
                        "load decision " + decision + ": expected one that a load order can get");
        }
    }

    private void startLoad(ModelVersion version, Order order, WeightSettings weight) {
        Replica replica = memory.replica(version).orElseThrow();
        boolean crash = faults.trigger(FaultType.CRASH_LOADS).isPresent();
        Thread.ofVirtual().start(() -> runLoad(replica, order, weight, crash));
    }

    /** Waits for the duration of a load and records its end, as a failure if it is to crash. */
    private void runLoad(Replica replica, Order order, WeightSettings weight, boolean crash) {
        double durationFactor = faults.activeFault(FaultType.SLOW_LOADS)
                .map(FaultOrder::factor)
                .filter(factor -> factor > 1)
                .orElse(1.0);
        try {
            if (order.adapter() != null) {
                transfers.awaitAdapterFetch(replica.progress(), durationFactor);
                memory.finishAdapterLoad(replica, order.adapter(), crash);
                return;
            }
            fetchWeights(replica, order, weight, durationFactor);
            memory.finishLoad(replica, crash);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Transfers a checkpoint from the requested source, or from the next slower one that has it. */
    private void fetchWeights(Replica replica, Order order, WeightSettings weight, double durationFactor)
            throws InterruptedException {
        String cachedPlace = memory.cachedPlace(replica.version());
        String requestedSource = order.source() == null ? "remote" : order.source();
        if (requestedSource.equals("memory") && cachedPlace.equals("memory")) {
            WeightTransferSimulator.awaitLocalRead(
                    weight.bytes(), settings.memoryBytesPerSecond(), replica.progress(), durationFactor);
        } else if (!requestedSource.equals("remote") && !cachedPlace.equals("remote")) {
            WeightTransferSimulator.awaitLocalRead(
                    weight.bytes(), settings.diskBytesPerSecond(), replica.progress(), durationFactor);
        } else {
            transfers.awaitFetch(weight.bytes(), replica.progress(), durationFactor);
        }
    }
}
