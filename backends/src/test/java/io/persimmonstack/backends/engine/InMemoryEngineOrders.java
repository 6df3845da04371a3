package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.weights.Weight;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** In-memory {@link EngineOrders} for tests. A load is complete when the state is next read, unless loads are held. */
public final class InMemoryEngineOrders implements EngineOrders {
    private final Map<PeerAddress, Engine> engines = new ConcurrentHashMap<>();
    private final WeightCatalogue catalogue;
    private volatile boolean loadsHeld;
    private volatile boolean repliesLost;

    private InMemoryEngineOrders(WeightCatalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** Returns an instance without engines. */
    public static InMemoryEngineOrders of(WeightCatalogue catalogue) {
        return new InMemoryEngineOrders(catalogue);
    }

    /** Adds an engine. With {@code fencing} it refuses orders with a stale fencing token. */
    public void add(PeerAddress address, String runner, long memoryBytes, boolean fencing) {
        engines.put(address, new Engine(runner, memoryBytes, fencing));
    }

    /** Removes an engine with everything loaded on it. */
    public void remove(PeerAddress address) {
        engines.remove(address);
    }

    /** Keeps loads in progress for as long as {@code hold} is set. */
    public void holdLoads(boolean hold) {
        loadsHeld = hold;
    }

    /** Reports orders as {@code Unknown} although they take effect, for as long as {@code lose} is set. */
    public void loseReplies(boolean lose) {
        repliesLost = lose;
    }

    @Override
    public LoadOutcome load(PeerAddress address, LoadOrder order) {
        Engine engine = engines.get(address);
        if (engine == null) {
            return new LoadOutcome.NotSent(address + ": no such engine");
        }
        LoadOutcome outcome = engine.load(order);
        return repliesLost ? new LoadOutcome.Unknown(address + ": reply lost") : outcome;
    }

    @Override
    public UnloadOutcome unload(PeerAddress address, UnloadOrder order) {
        Engine engine = engines.get(address);
        if (engine == null) {
            return new UnloadOutcome.NotSent(address + ": no such engine");
        }
        UnloadOutcome outcome = engine.unload(order);
        return repliesLost ? new UnloadOutcome.Unknown(address + ": reply lost") : outcome;
    }

    @Override
    public EngineState state(PeerAddress address) throws EngineException {
        Engine engine = engines.get(address);
        if (engine == null) {
            throw new EngineException(address + ": no such engine");
        }
        return engine.state();
    }

    private static final class Model {
        private final long bytes;
        private final Map<String, Long> adapters = new TreeMap<>();
        private boolean loaded;

        private Model(long bytes) {
            this.bytes = bytes;
        }

        private long totalBytes() {
            return bytes + adapters.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private final class Engine {
        private final String runner;
        private final long memoryBytes;
        private final boolean fencing;
        private final Map<ModelVersion, Model> models = new TreeMap<>();
        private long fence;

        private Engine(String runner, long memoryBytes, boolean fencing) {
            this.runner = runner;
            this.memoryBytes = memoryBytes;
            this.fencing = fencing;
        }

        private synchronized LoadOutcome load(LoadOrder order) {
            if (isFenced(order.fence())) {
                return new LoadOutcome.Fenced(fence);
            }
            Optional<Weight> weight = order.adapter().isPresent()
                    ? catalogue.adapter(order.base(), order.adapter().get())
                    : catalogue.checkpoint(order.base());
            if (weight.isEmpty()) {
                return new LoadOutcome.Refused("no such weights");
            }
            Model existing = models.get(order.base());
            if (order.adapter().isPresent()) {
                return loadAdapter(existing, order.adapter().get(), weight.get());
            }
            if (existing != null) {
                return existing.loaded ? new LoadOutcome.Loaded() : new LoadOutcome.Accepted();
            }
            if (usedBytes() + weight.get().memoryBytes() > memoryBytes) {
                return new LoadOutcome.NoMemory();
            }
            models.put(order.base(), new Model(weight.get().memoryBytes()));
            return new LoadOutcome.Accepted();
        }

        private LoadOutcome loadAdapter(Model base, String adapter, Weight weight) {
            if (base == null || !base.loaded) {
                return new LoadOutcome.Refused("base not loaded");
            }
            if (base.adapters.containsKey(adapter)) {
                return new LoadOutcome.Loaded();
            }
            if (usedBytes() + weight.memoryBytes() > memoryBytes) {
                return new LoadOutcome.NoMemory();
            }
            base.adapters.put(adapter, weight.memoryBytes());
            return new LoadOutcome.Accepted();
        }

        private synchronized UnloadOutcome unload(UnloadOrder order) {
            if (isFenced(order.fence())) {
                return new UnloadOutcome.Fenced(fence);
            }
            if (order.adapter().isEmpty()) {
                models.remove(order.base());
            } else if (models.containsKey(order.base())) {
                models.get(order.base()).adapters.remove(order.adapter().get());
            }
            return new UnloadOutcome.Unloaded();
        }

        private synchronized EngineState state() {
            if (!loadsHeld) {
                models.values().forEach(model -> model.loaded = true);
            }
            List<EngineModel> reported = models.entrySet().stream()
                    .map(entry -> toEngineModel(entry.getKey(), entry.getValue()))
                    .toList();
            return new EngineState(
                    runner,
                    memoryBytes,
                    usedBytes(),
                    8,
                    0,
                    0,
                    fencing,
                    fence,
                    false,
                    reported,
                    List.of(),
                    Optional.empty());
        }

        private EngineModel toEngineModel(ModelVersion version, Model model) {
            ModelState state = model.loaded ? ModelState.LOADED : ModelState.LOADING;
            List<String> adapters = List.copyOf(new TreeSet<>(model.adapters.keySet()));
            return new EngineModel(version, state, model.totalBytes(), adapters, 0, Optional.empty());
        }

        private boolean isFenced(long token) {
            if (fencing && token < fence) {
                return true;
            }
            fence = Math.max(fence, token);
            return false;
        }

        private long usedBytes() {
            return models.values().stream().mapToLong(Model::totalBytes).sum();
        }
    }
}
