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
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Loads demanded of one runner, served by least slack. Confined to the agent's thread. */
final class DemandQueue {
    private final String runner;
    private final RunnerPorts ports;
    private final EngineBook book;
    private final EngineCaller engine;
    private final RunnerSlots slots;
    private final ModelUses uses;
    private final List<LoadDemand> demands = new ArrayList<>();

    DemandQueue(
            String runner, RunnerPorts ports, EngineBook book, EngineCaller engine, RunnerSlots slots, ModelUses uses) {
        this.runner = runner;
        this.ports = ports;
        this.book = book;
        this.engine = engine;
        this.slots = slots;
        this.uses = uses;
    }

    void add(LoadDemand demand) {
        demands.add(demand);
    }

    boolean isEmpty() {
        return demands.isEmpty();
    }

    boolean wants(ModelVersion model) {
        return demands.stream().anyMatch(demand -> demand.key().model().equals(model));
    }

    /**
     * Advances every demand as far as the engine allows now.
     *
     * @param host entry of the runner in the host list
     * @param barred models that the runner takes no new loads of
     */
    void serve(Host host, Predicate<ModelVersion> barred) {
        demands.sort(Comparator.comparingLong(LoadDemand::deadlineNanos));
        for (LoadDemand demand : List.copyOf(demands)) {
            Optional<OwnedRunner> owned = slots.owned();
            if (owned.isEmpty() || isSettled(demand, barred) || serve(host, owned.get(), demand)) {
                demands.remove(demand);
            }
        }
    }

    void refuseAll(String reason) {
        demands.forEach(demand -> demand.complete(LoadAnswers.refusal(LoadResult.REFUSED_OWNER, runner, reason)));
    }

    private boolean isSettled(LoadDemand demand, Predicate<ModelVersion> barred) {
        if (ports.time().nanoTime() - demand.deadlineNanos() > 0) {
            demand.complete(late(demand));
            return true;
        }
        if (barred.test(demand.key().model())) {
            demand.complete(LoadAnswers.refusal(LoadResult.REFUSED_CAP, runner, "the runner takes no new loads"));
            return true;
        }
        return false;
    }

    /** Returns the refusal of a demand that could not be met in time, by what it lacks. */
    private LoadAnswer late(LoadDemand demand) {
        boolean basePresent = book.holds(demand.key().base());
        LoadSizes sizes = demand.sizes();
        long needed = basePresent ? sizes.adapterBytes() : sizes.baseBytes();
        boolean room = book.holds(demand.key()) || book.freeBytes() >= needed;
        return room
                ? LoadAnswers.refusal(LoadResult.REFUSED_STORE, runner, "the weight store did not deliver in time")
                : LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, "no room in time");
    }

    /** Advances a demand; returns whether nothing is left to do for it. */
    private boolean serve(Host host, OwnedRunner owned, LoadDemand demand) {
        ModelVersion model = demand.key().model();
        Optional<EngineModel> present = book.state().orElseThrow().model(model);
        if (present.isPresent()) {
            return servePresent(host, owned, demand, present.get());
        }
        Optional<LoadAnswer> refusal = slots.ensure(owned, model);
        if (refusal.isPresent()) {
            demand.complete(refusal.get());
            return true;
        }
        LoadKey base = demand.key().base();
        if (!makeRoom(host, owned, demand, demand.sizes().baseBytes())) {
            return demand.isRefused();
        }
        if (!engine.mayFetch(base)) {
            return awaitStore(demand);
        }
        LoadAnswer answer = engine.load(host, owned, base, demand.sizes().baseBytes());
        demand.complete(answer);
        return demand.key().adapter().isEmpty() || answer.getResult() != LoadResult.LOADING;
    }

    /** Leaves a demand queued until the store's limits allow its load, and says so. */
    private boolean awaitStore(LoadDemand demand) {
        demand.complete(LoadAnswers.of(LoadResult.LOADING, runner));
        return false;
    }

    private boolean servePresent(Host host, OwnedRunner owned, LoadDemand demand, EngineModel present) {
        LoadKey key = demand.key();
        if (present.state() == ModelState.UNLOADING || book.isUnloading(key.base())) {
            return false;
        }
        if (present.state() == ModelState.LOADED && book.holds(key)) {
            uses.used(key, 0);
            demand.complete(LoadAnswers.of(LoadResult.LOADED, runner));
            return true;
        }
        if (present.state() == ModelState.LOADED) {
            return loadAdapter(host, owned, demand);
        }
        LoadAnswer answer = LoadAnswers.of(LoadResult.LOADING, runner);
        answer.setReadyInMs(present.readyInMs());
        demand.complete(answer);
        return key.adapter().isEmpty();
    }

    private boolean loadAdapter(Host host, OwnedRunner owned, LoadDemand demand) {
        LoadKey key = demand.key();
        uses.used(key.base(), 0);
        if (!makeRoom(host, owned, demand, demand.sizes().adapterBytes())) {
            return demand.isRefused();
        }
        if (!engine.mayFetch(key)) {
            return awaitStore(demand);
        }
        demand.complete(engine.load(host, owned, key, demand.sizes().adapterBytes()));
        return true;
    }

    /** Returns whether there is room now; if not, begins to unload idle models, or refuses the demand. */
    private boolean makeRoom(Host host, OwnedRunner owned, LoadDemand demand, long bytes) {
        if (book.freeBytes() >= bytes) {
            return true;
        }
        EvictionPlan plan = EvictionPlan.of(book, uses, bytes, this);
        if (!plan.suffices()) {
            demand.complete(LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, plan.reason()));
            return false;
        }
        plan.victims().forEach(victim -> engine.unload(host, owned, victim, "room is needed for " + demand.key()));
        demand.complete(LoadAnswers.of(LoadResult.LOADING, runner));
        return false;
    }
}
