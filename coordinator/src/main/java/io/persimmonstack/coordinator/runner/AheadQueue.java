package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Loads of one runner that nobody waits for. They never unload a model, take a new slot or go before a demand; one that
 * cannot begin at once waits briefly for a permit of the weight store. Confined to the agent's thread.
 */
final class AheadQueue {
    private static final long PERMIT_WAIT_NANOS = 2_000_000_000L;

    private record Order(
            LoadKey key, long holdMs, LoadSizes sizes, long giveUpNanos, CompletableFuture<LoadAnswer> answer) {}

    private final String runner;
    private final RunnerPorts ports;
    private final EngineBook book;
    private final EngineCaller engine;
    private final ModelUses uses;
    private final List<Order> orders = new ArrayList<>();

    AheadQueue(String runner, RunnerPorts ports, EngineBook book, EngineCaller engine, ModelUses uses) {
        this.runner = runner;
        this.ports = ports;
        this.book = book;
        this.engine = engine;
        this.uses = uses;
    }

    void add(LoadKey key, long holdMs, LoadSizes sizes, CompletableFuture<LoadAnswer> answer) {
        orders.add(new Order(key, holdMs, sizes, ports.time().nanoTime() + PERMIT_WAIT_NANOS, answer));
    }

    boolean isEmpty() {
        return orders.isEmpty();
    }

    /**
     * Begins the loads that disturb nothing and refuses the others.
     *
     * @param host entry of the runner in the host list
     * @param owned slots and epoch
     * @param idle whether no demand waits for the runner
     * @param barred models that the runner takes no new loads of
     */
    void serve(Host host, OwnedRunner owned, boolean idle, Predicate<ModelVersion> barred) {
        orders.removeIf(order -> {
            Optional<LoadAnswer> answer = serve(host, owned, order, idle, barred);
            answer.ifPresent(order.answer()::complete);
            return answer.isPresent();
        });
    }

    private Optional<LoadAnswer> serve(
            Host host, OwnedRunner owned, Order order, boolean idle, Predicate<ModelVersion> barred) {
        ModelVersion model = order.key().model();
        Optional<EngineModel> present = book.state().orElseThrow().model(model);
        if (present.isPresent()) {
            return Optional.of(hold(order, present.get()));
        }
        if (!owned.slots().contains(model) || barred.test(model)) {
            return refusal(LoadResult.REFUSED_CAP, "the runner has no slot that it may use");
        }
        if (!idle) {
            return refusal(LoadResult.REFUSED_STORE, "a demand waits for the runner");
        }
        if (book.freeBytes() < order.sizes().baseBytes()) {
            return refusal(LoadResult.REFUSED_MEMORY, "room for " + book.freeBytes() + " bytes");
        }
        if (!engine.mayFetch(order.key())) {
            boolean late = ports.time().nanoTime() - order.giveUpNanos() > 0;
            return late ? refusal(LoadResult.REFUSED_STORE, "no permit is free") : Optional.empty();
        }
        uses.hold(order.key(), order.holdMs());
        return Optional.of(engine.load(host, owned, order.key(), order.sizes().baseBytes()));
    }

    private LoadAnswer hold(Order order, EngineModel present) {
        if (present.state() == ModelState.UNLOADING || book.isUnloading(order.key())) {
            return LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, "it is being unloaded");
        }
        uses.hold(order.key(), order.holdMs());
        return LoadAnswers.of(LoadResult.LOADED, runner);
    }

    private Optional<LoadAnswer> refusal(LoadResult result, String reason) {
        return Optional.of(LoadAnswers.refusal(result, runner, reason));
    }

    void refuseAll(String reason) {
        orders.forEach(order -> order.answer().complete(LoadAnswers.refusal(LoadResult.REFUSED_OWNER, runner, reason)));
        orders.clear();
    }
}
