package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Runners that carry out orders for models and adapters as documented, with selectable faults of the orders. An unload
 * of an adapter in use is accepted and takes effect when its last request ends. An unload of a model waits for its
 * requests and then takes a while; until then, and during the load of a model, each order is answered with a conflict.
 * Records every load beyond a runner's adapter slots. Thread-safe.
 */
final class SimulatedRunners implements RunnerControl {
    /** Age of the state that a status reports. */
    private static final long STATUS_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Fault of one order.
     *
     * @param delayMs time from the order's arrival to its execution, in milliseconds
     * @param answered whether its sender gets the answer; if not, it gets {@code UNKNOWN} before the execution
     */
    record OrderFault(long delayMs, boolean answered) {
        static final OrderFault NONE = new OrderFault(0, true);
    }

    private final int adapterSlots;
    private final boolean refusesLoadsWhileUnloading;
    private final BiFunction<String, PlacementOrder, OrderFault> faults;
    private final ExecutorService threads;
    private final Map<String, State> runners = new HashMap<>();
    private final List<String> overloads = Collections.synchronizedList(new ArrayList<>());
    private final List<PlacementOrder> executedOrders = Collections.synchronizedList(new ArrayList<>());

    private final List<PlacementOrder> conflicts = Collections.synchronizedList(new ArrayList<>());

    private Runnable beforeFirstOrder = () -> {};
    private long unloadNanos;
    private long loadNanos;

    /** State of one runner. */
    private static final class State {
        private final Set<String> models = new HashSet<>(Set.of("a"));
        /** Monotonic times until which requests of models run. */
        private final Map<String, Long> modelInUseUntilNanos = new HashMap<>();
        /** Order for a model in progress, and the earliest time of its end. */
        private Optional<PlacementOrder> modelOrder = Optional.empty();

        private long modelOrderEndNanos;

        private final Set<ModelRef> adapters = new HashSet<>();
        /** Monotonic times until which adapters are in use. */
        private final Map<ModelRef, Long> inUseUntilNanos = new HashMap<>();
        /** Adapters that are unloaded when their last request ends. */
        private final Set<ModelRef> unloading = new HashSet<>();

        private final Deque<TimedStatus> statuses = new ArrayDeque<>();
        /** Orders with their outcome, for the description of an overload. */
        private final List<String> history = new ArrayList<>();

        private long sequence;
        private long highestTerm;
    }

    private record TimedStatus(long nanos, RunnerStatus status) {}

    /**
     * Creates runners without any adapters.
     *
     * @param adapterSlots adapters that each runner can hold at the same time
     * @param refusesLoadsWhileUnloading whether a load is answered with a conflict while an unload takes effect
     * @param faults returns the fault of an order to a runner
     * @param threads runs orders that are executed late
     */
    SimulatedRunners(
            int adapterSlots,
            boolean refusesLoadsWhileUnloading,
            BiFunction<String, PlacementOrder, OrderFault> faults,
            ExecutorService threads) {
        this.adapterSlots = adapterSlots;
        this.refusesLoadsWhileUnloading = refusesLoadsWhileUnloading;
        this.faults = faults;
        this.threads = threads;
    }

    /** Sets how long runners take to unload a model without requests and to load one, in milliseconds. */
    synchronized void modelTimes(long unloadMs, long loadMs) {
        unloadNanos = TimeUnit.MILLISECONDS.toNanos(unloadMs);
        loadNanos = TimeUnit.MILLISECONDS.toNanos(loadMs);
    }

    /** Lets requests of a model run at a runner for a time, in milliseconds. */
    synchronized void run(String runner, String model, long ms) {
        runners.get(runner).modelInUseUntilNanos.put(model, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Returns whether requests of a model run at a runner. */
    synchronized boolean isRunning(String runner, String model) {
        Long untilNanos = runners.get(runner).modelInUseUntilNanos.get(model);
        return untilNanos != null && System.nanoTime() - untilNanos < 0;
    }

    /** Returns the orders that were answered with a conflict. */
    List<PlacementOrder> conflicts() {
        return List.copyOf(conflicts);
    }

    /** Adds a runner that holds the given adapters of the model {@code a}. */
    synchronized void add(String runner, String... adapters) {
        State state = new State();
        for (String adapter : adapters) {
            state.adapters.add(new ModelRef("a", adapter));
        }
        runners.put(runner, state);
        state.statuses.add(new TimedStatus(System.nanoTime() - STATUS_LAG_NANOS, status(state)));
    }

    /** Lets requests use an adapter for a time, in milliseconds, if its runner holds it. */
    synchronized void use(String runner, String adapter, long ms) {
        ModelRef used = new ModelRef("a", adapter);
        State state = runners.get(runner);
        if (state.adapters.contains(used) && !state.unloading.contains(used)) {
            state.inUseUntilNanos.put(used, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms));
        }
    }

    /** Lets requests use an adapter from the first order on, for a time in milliseconds. */
    synchronized void useAtFirstOrder(String runner, String adapter, long ms) {
        beforeFirstOrder = () -> use(runner, adapter, ms);
    }

    private synchronized void onFirstOrder() {
        beforeFirstOrder.run();
        beforeFirstOrder = () -> {};
    }

    /** Returns a line for each load beyond a runner's adapter slots. */
    List<String> overloads() {
        return List.copyOf(overloads);
    }

    /** Returns the orders that runners have accepted, in the sequence of their execution. */
    List<PlacementOrder> executedOrders() {
        return List.copyOf(executedOrders);
    }

    @Override
    public void onNotice(RunnerNoticeListener listener) {}

    @Override
    public OrderAnswer order(
            Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads) {
        onFirstOrder();
        OrderFault fault = faults.apply(runner.id(), order);
        if (fault.answered()) {
            sleep(fault.delayMs());
            return execute(runner.id(), order, precondition);
        }
        threads.execute(() -> {
            sleep(fault.delayMs());
            execute(runner.id(), order, precondition);
        });
        return OrderAnswer.UNKNOWN;
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized OrderAnswer execute(String runner, PlacementOrder order, OrderPrecondition precondition) {
        State state = runners.get(runner);
        endUnloads(state);
        endModelOrder(state);
        OrderAnswer answer = answer(runner, state, order, precondition);
        state.history.add(System.nanoTime() / 1_000_000 + " " + order + " " + precondition + " " + answer);
        if (answer == OrderAnswer.CONFLICT) {
            conflicts.add(order);
        }
        if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY) {
            executedOrders.add(order);
        }
        state.statuses.add(new TimedStatus(System.nanoTime(), status(state)));
        return answer;
    }

    private OrderAnswer answer(String runner, State state, PlacementOrder order, OrderPrecondition precondition) {
        if (precondition.term() < state.highestTerm) {
            return OrderAnswer.FENCED;
        }
        state.highestTerm = precondition.term();
        if (state.modelOrder.isPresent() || precondition.sequence() != state.sequence) {
            return OrderAnswer.CONFLICT;
        }
        OrderAnswer answer = switch (order) {
            case PlacementOrder.LoadAdapter load -> load(runner, state, new ModelRef(load.model(), load.adapter()));
            case PlacementOrder.UnloadAdapter unload -> unload(state, new ModelRef(unload.model(), unload.adapter()));
            case PlacementOrder.LoadModel load -> beginModelOrder(state, load, loadNanos);
            case PlacementOrder.UnloadModel unload -> beginModelOrder(state, unload, unloadNanos);
        };
        if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY) {
            executedOrders.add(order);
        }
        state.statuses.add(new TimedStatus(System.nanoTime(), status(state)));
        return answer;
    }

    private static OrderAnswer beginModelOrder(State state, PlacementOrder order, long durationNanos) {
        if (state.models.contains(order.model()) == order instanceof PlacementOrder.LoadModel) {
            return OrderAnswer.ALREADY;
        }
        long nowNanos = System.nanoTime();
        long inUseNanos = order instanceof PlacementOrder.UnloadModel
                ? Math.max(0, state.modelInUseUntilNanos.getOrDefault(order.model(), nowNanos) - nowNanos)
                : 0;
        state.modelOrder = Optional.of(order);
        state.modelOrderEndNanos = nowNanos + inUseNanos + durationNanos;
        state.sequence++;
        return OrderAnswer.ACCEPTED;
    }

    /** Ends the order for a model whose time is over. */
    private static void endModelOrder(State state) {
        if (state.modelOrder.isEmpty() || System.nanoTime() - state.modelOrderEndNanos < 0) {
            return;
        }
        PlacementOrder order = state.modelOrder.get();
        state.modelOrder = Optional.empty();
        if (order instanceof PlacementOrder.LoadModel) {
            state.models.add(order.model());
        } else {
            state.models.remove(order.model());
        }
        state.statuses.add(new TimedStatus(state.modelOrderEndNanos, status(state)));
    }

    private OrderAnswer load(String runner, State state, ModelRef adapter) {
        if (state.adapters.contains(adapter)) {
            return OrderAnswer.ALREADY;
        }
        if (refusesLoadsWhileUnloading && !state.unloading.isEmpty()) {
            return OrderAnswer.CONFLICT;
        }
        state.adapters.add(adapter);
        state.sequence++;
        if (state.adapters.size() > adapterSlots) {
            overloads.add(runner + ": " + state.adapters.size() + " adapters in " + adapterSlots + " slots, the last "
                    + adapter.adapter() + ", after " + String.join("; ", state.history));
        }
        return OrderAnswer.ACCEPTED;
    }

    private OrderAnswer unload(State state, ModelRef adapter) {
        if (!state.adapters.contains(adapter)) {
            return OrderAnswer.ALREADY;
        }
        state.sequence++;
        if (state.inUseUntilNanos.containsKey(adapter)) {
            state.unloading.add(adapter);
            return OrderAnswer.ACCEPTED;
        }
        state.adapters.remove(adapter);
        return OrderAnswer.ALREADY;
    }

    /** Forgets requests that have ended, and unloads the adapters that waited for them. */
    private static void endUnloads(State state) {
        long nowNanos = System.nanoTime();
        state.inUseUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
        boolean unloaded = state.unloading.removeIf(
                adapter -> !state.inUseUntilNanos.containsKey(adapter) && state.adapters.remove(adapter));
        if (unloaded) {
            state.statuses.add(new TimedStatus(nowNanos, status(state)));
        }
    }

    @Override
    public synchronized RunnerStatus status(Runner runner) {
        State state = runners.get(runner.id());
        endUnloads(state);
        endModelOrder(state);
        long asOfNanos = System.nanoTime() - STATUS_LAG_NANOS;
        return state.statuses.stream()
                .filter(timed -> timed.nanos() - asOfNanos <= 0)
                .reduce((earlier, later) -> later)
                .orElseThrow()
                .status();
    }

    private static RunnerStatus status(State state) {
        List<HeldModel> held = state.models.stream()
                .map(model -> new HeldModel(
                        model,
                        1,
                        state.adapters.stream()
                                .filter(adapter -> adapter.model().equals(model))
                                .map(ModelRef::adapter)
                                .collect(Collectors.toSet())))
                .toList();
        return new RunnerStatus(
                state.modelOrder.isPresent(), state.sequence, held, Set.of(), Set.of(), Set.of("a", "b", "c"));
    }
}
