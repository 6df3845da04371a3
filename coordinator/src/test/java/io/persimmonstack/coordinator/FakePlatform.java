package io.persimmonstack.coordinator;

import io.persimmonstack.backends.engine.EngineException;
import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.EngineState;
import io.persimmonstack.backends.engine.LoadOrder;
import io.persimmonstack.backends.engine.LoadOutcome;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.engine.UnloadOrder;
import io.persimmonstack.backends.engine.UnloadOutcome;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostKind;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.weights.Weight;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Platform in memory: a store, a host list, and engines that load in no time unless told to hold. */
public final class FakePlatform implements EngineOrders {
    static final long MODEL_BYTES = 40;
    static final long RUNNER_BYTES = 100;

    public final InMemoryKvStore kv = InMemoryKvStore.create();
    public final Map<String, Host> hosts = new ConcurrentHashMap<>();
    final List<Weight> weights = new CopyOnWriteArrayList<>();
    public final AtomicInteger loadOrders = new AtomicInteger();
    public final List<String> violations = new CopyOnWriteArrayList<>();
    /** Answers of the next load orders, which then have no effect. */
    public final Queue<LoadOutcome> nextOutcomes = new ConcurrentLinkedQueue<>();

    public volatile boolean holdLoads;
    /** Whether the weight store allows no loads. */
    public volatile boolean weightStoreDown;
    /** Whether adapters stay loading until they are finished one by one. */
    volatile boolean holdAdapters;

    volatile int adaptersInFlight = 30;
    final AtomicInteger adapterOrders = new AtomicInteger();
    /** Most checkpoints that were loading at once, over all engines. */
    final AtomicInteger mostLoading = new AtomicInteger();
    /** Most adapters that were loading at once, over all engines. */
    final AtomicInteger mostAdaptersLoading = new AtomicInteger();

    private final List<Runnable> loadingAdapters = new CopyOnWriteArrayList<>();
    final Map<String, Long> mostReplicas = new ConcurrentHashMap<>();
    private final Map<PeerAddress, Engine> engines = new ConcurrentHashMap<>();

    private static final class Engine {
        private final String runner;
        private final boolean fencing;
        private final Map<ModelVersion, ModelState> models = new TreeMap<>();
        private final Map<ModelVersion, List<String>> adapters = new TreeMap<>();
        private long fence;

        Engine(String runner, boolean fencing) {
            this.runner = runner;
            this.fencing = fencing;
        }
    }

    public PlatformLinks links() {
        return new PlatformLinks(
                kv,
                FleetBudget.of(new CoordinatorSettings.KvSettings("127.0.0.1:1", 1, 1, 1, 1, 1), (reads, writes) -> {}),
                () -> List.copyOf(hosts.values()),
                () -> new WeightCatalogue(10, weightStoreDown ? 0 : 4, adaptersInFlight, weights),
                this);
    }

    public void addRunner(String name, String zone, boolean fencing) {
        PeerAddress address = new PeerAddress("127.9.0.1", 1 + hosts.size());
        engines.put(address, new Engine(name, fencing));
        hosts.put(
                name,
                new Host(name, HostKind.RUNNER, HostState.LIVE, address, zone, "south", Optional.empty(), fencing));
    }

    public void addEntryHost(String name, String address, String zone) {
        PeerAddress at = PeerAddress.parse(address);
        hosts.put(name, new Host(name, HostKind.ENTRY, HostState.LIVE, at, zone, "south", Optional.empty(), false));
    }

    public void setState(String host, HostState state) {
        hosts.computeIfPresent(
                host,
                (name, known) -> new Host(
                        name,
                        known.kind(),
                        state,
                        known.address(),
                        known.zone(),
                        known.region(),
                        known.service(),
                        known.fencing()));
    }

    /** Ends a host: the list says that it is gone, and nothing listens at its address. */
    public void end(String host) {
        setState(host, HostState.GONE);
        engines.remove(hosts.get(host).address());
    }

    /** Returns the highest fencing number that a runner's engine has seen. */
    public long fence(String runner) {
        return engines.get(hosts.get(runner).address()).fence;
    }

    void addAdapter(String model, String adapter) {
        weights.add(new Weight(ModelVersion.parse(model), Optional.of(adapter), 1, 1));
    }

    public void addModel(String model) {
        weights.add(new Weight(ModelVersion.parse(model), Optional.empty(), 1, MODEL_BYTES));
    }

    public void finishLoads() {
        holdLoads = false;
        engines.values().forEach(engine -> {
            synchronized (engine) {
                engine.models.replaceAll((model, state) -> ModelState.LOADED);
            }
        });
    }

    long replicas(String model) {
        return engines.values().stream()
                .mapToLong(engine -> {
                    synchronized (engine) {
                        return engine.models.keySet().stream()
                                .filter(loaded -> loaded.model().equals(model))
                                .count();
                    }
                })
                .sum();
    }

    @Override
    public LoadOutcome load(PeerAddress address, LoadOrder order) {
        Engine engine = engines.get(address);
        LoadOutcome forced = nextOutcomes.poll();
        if (forced != null) {
            return forced;
        }
        synchronized (engine) {
            if (engine.fencing && order.fence() < engine.fence) {
                return new LoadOutcome.Fenced(engine.fence);
            }
            engine.fence = Math.max(engine.fence, order.fence());
            if (order.adapter().isPresent()) {
                return loadAdapter(engine, order);
            }
            if (engine.models.containsKey(order.base())) {
                return new LoadOutcome.Loaded();
            }
            loadOrders.incrementAndGet();
            if ((engine.models.size() + 1) * MODEL_BYTES > RUNNER_BYTES) {
                violations.add(engine.runner + " overcommitted by " + order.base());
                return new LoadOutcome.NoMemory();
            }
            engine.models.put(order.base(), holdLoads ? ModelState.LOADING : ModelState.LOADED);
        }
        String model = order.base().model();
        mostReplicas.merge(model, replicas(model), Math::max);
        mostLoading.accumulateAndGet(loading(), Math::max);
        return new LoadOutcome.Accepted();
    }

    private LoadOutcome loadAdapter(Engine engine, LoadOrder order) {
        adapterOrders.incrementAndGet();
        Runnable finish = () -> {
            synchronized (engine) {
                engine.adapters
                        .computeIfAbsent(order.base(), ignored -> new ArrayList<>())
                        .add(order.adapter().get());
            }
        };
        if (!holdAdapters) {
            finish.run();
            return new LoadOutcome.Loaded();
        }
        loadingAdapters.add(finish);
        mostAdaptersLoading.accumulateAndGet(loadingAdapters.size(), Math::max);
        return new LoadOutcome.Accepted();
    }

    /** Ends the load of one adapter. */
    void finishAdapter() {
        loadingAdapters.remove(0).run();
    }

    /** Ends the load of one checkpoint. */
    void finishLoad() {
        for (Engine engine : engines.values()) {
            synchronized (engine) {
                for (Map.Entry<ModelVersion, ModelState> entry : engine.models.entrySet()) {
                    if (entry.getValue() == ModelState.LOADING) {
                        entry.setValue(ModelState.LOADED);
                        return;
                    }
                }
            }
        }
    }

    /** Returns the checkpoints that are loading now, over all engines. */
    int loading() {
        return engines.values().stream()
                .mapToInt(engine -> {
                    synchronized (engine) {
                        return (int) engine.models.values().stream()
                                .filter(state -> state == ModelState.LOADING)
                                .count();
                    }
                })
                .sum();
    }

    @Override
    public UnloadOutcome unload(PeerAddress address, UnloadOrder order) {
        Engine engine = engines.get(address);
        synchronized (engine) {
            if (engine.fencing && order.fence() < engine.fence) {
                return new UnloadOutcome.Fenced(engine.fence);
            }
            engine.fence = Math.max(engine.fence, order.fence());
            if (order.adapter().isEmpty()) {
                engine.models.remove(order.base());
                engine.adapters.remove(order.base());
            }
            return new UnloadOutcome.Unloaded();
        }
    }

    @Override
    public EngineState state(PeerAddress address) throws EngineException {
        Engine engine = engines.get(address);
        if (engine == null) {
            throw new EngineException(
                    address + ": no engine", new HttpFailure(HttpFailure.Kind.CONNECT, "refused", false, null));
        }
        synchronized (engine) {
            List<EngineModel> models = engine.models.entrySet().stream()
                    .map(entry -> new EngineModel(
                            entry.getKey(),
                            entry.getValue(),
                            MODEL_BYTES,
                            engine.adapters.getOrDefault(entry.getKey(), List.of()),
                            entry.getValue() == ModelState.LOADING ? 500 : 0,
                            Optional.empty()))
                    .toList();
            return new EngineState(
                    engine.runner,
                    RUNNER_BYTES,
                    models.size() * MODEL_BYTES,
                    8,
                    0,
                    0,
                    engine.fencing,
                    engine.fence,
                    false,
                    models,
                    List.of());
        }
    }
}
