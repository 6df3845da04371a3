package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.OrderStatus;
import io.persimmonstack.standin.engine.EngineApiMessages.Order;
import io.persimmonstack.standin.engine.EngineApiMessages.OrderRefusal;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.weights.WeightStoreSettings.WeightSettings;
import io.persimmonstack.standin.weights.WeightTransferSimulator;
import java.io.IOException;
import java.util.Optional;

/** Orders to load and unload, and the loads in progress. */
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
            EngineGroup settings, EngineMemory memory, WeightTransferSimulator transfers, FaultInjector faults, EngineCounters counters) {
        this.settings = settings;
        this.memory = memory;
        this.transfers = transfers;
        this.faults = faults;
        this.counters = counters;
    }

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
            exchange.answer(NOT_FOUND, new OrderRefusal("no-such-weights", null));
            return;
        }
        long bytes = weight.get().memoryBytes();
        EngineMemory.LoadDecision decision =
                adapter.isPresent() ? memory.beginAdapterLoad(version, adapter.get(), bytes) : memory.beginLoad(version, bytes);
        if (decision == EngineMemory.LoadDecision.ACCEPTED) {
            counters.loadsStarted.incrementAndGet();
            startLoad(version, order, weight.get());
        }
        answerLoad(exchange, decision);
    }

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
        exchange.answer(OK, new OrderStatus("unloaded"));
    }

    private Optional<Order> readOrder(StandinExchange exchange) throws IOException {
        Optional<Order> order = exchange.parseBody(Order.class);
        if (order.isEmpty() || order.get().model() == null || order.get().version() == null) {
            exchange.answer(BAD_REQUEST, new OrderRefusal("not-an-order", null));
            return Optional.empty();
        }
        if (!memory.acceptFencingToken(order.get().fence())) {
            counters.ordersFenced.incrementAndGet();
            exchange.answer(CONFLICT, new OrderRefusal("fenced", memory.highestFencingToken()));
            return Optional.empty();
        }
        return order;
    }

    private void answerLoad(StandinExchange exchange, EngineMemory.LoadDecision decision) throws IOException {
        switch (decision) {
            case ACCEPTED, IN_PROGRESS -> exchange.answer(ACCEPTED, new OrderStatus("loading"));
            case DONE -> exchange.answer(OK, new OrderStatus("loaded"));
            case NO_MEMORY -> {
                counters.ordersWithoutMemory.incrementAndGet();
                exchange.answer(INSUFFICIENT_STORAGE, new OrderRefusal("no-memory", null));
            }
            case UNLOADING -> exchange.answer(CONFLICT, new OrderRefusal("unloading", null));
            case NO_BASE -> exchange.answer(CONFLICT, new OrderRefusal("no-base", null));
            default -> throw new IllegalStateException("verdict " + decision + " is no answer to a load");
        }
    }

    private void startLoad(ModelVersion version, Order order, WeightSettings weight) {
        Replica replica = memory.replica(version).orElseThrow();
        boolean crash = faults.trigger(FaultType.CRASH_LOADS).isPresent();
        Thread.ofVirtual().start(() -> runLoad(replica, order, weight, crash));
    }

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

    private void fetchWeights(Replica replica, Order order, WeightSettings weight, double durationFactor) throws InterruptedException {
        String cachedPlace = memory.cachedPlace(replica.version());
        String requestedSource = order.source() == null ? "remote" : order.source();
        if (requestedSource.equals("memory") && cachedPlace.equals("memory")) {
            WeightTransferSimulator.awaitLocalRead(weight.bytes(), settings.memoryBytesPerSecond(), replica.progress(), durationFactor);
        } else if (!requestedSource.equals("remote") && !cachedPlace.equals("remote")) {
            WeightTransferSimulator.awaitLocalRead(weight.bytes(), settings.diskBytesPerSecond(), replica.progress(), durationFactor);
        } else {
            transfers.awaitFetch(weight.bytes(), replica.progress(), durationFactor);
        }
    }
}
