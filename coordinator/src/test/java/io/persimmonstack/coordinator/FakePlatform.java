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

/**
 * In-memory platform with a key-value store, a host list, a weight store and engines. Loads complete at once unless the
 * test holds them.
 */
public final class FakePlatform implements EngineOrders {
    /** Accelerator memory of each model; two models fit on a runner. */
    static final long MODEL_BYTES = 40;

    static final long RUNNER_BYTES = 100;

    public final InMemoryKvStore kv = InMemoryKvStore.create();
    public final Map<String, Host> hosts = new ConcurrentHashMap<>();
    final List<Weight> weights = new CopyOnWriteArrayList<>();
    /** Number of load orders for models that the engine did not have, without fenced and forced ones. */
    public final AtomicInteger loadOrders = new AtomicInteger();
    /** Violations by the coordinators, such as a load order that exceeds the memory of a runner. */
    public final List<String> violations = new CopyOnWriteArrayList<>();
    /** Outcomes to return for the next load orders, which then have no effect on the engine. */
    public final Queue<LoadOutcome> nextOutcomes = new ConcurrentLinkedQueue<>();

    /** Whether models stay in state loading until the test finishes them. */
    public volatile boolean holdLoads;
    /** Whether the weight store's catalogue permits no loads from the store. */
    public volatile boolean weightStoreDown;
    /** Whether adapter loads stay pending until the test finishes them one by one. */
    volatile boolean holdAdapters;

    /** Limit of the weight store on concurrent adapter loads. */
    volatile int adaptersInFlight = 30;

    /** Number of load orders for adapters. */
    final AtomicInteger adapterOrders = new AtomicInteger();
    /** Highest number of models that were loading at the same time on all engines. */
    final AtomicInteger maxConcurrentLoads = new AtomicInteger();
    /** Highest number of adapters that were loading at the same time on all engines. */
    final AtomicInteger maxConcurrentAdapterLoads = new AtomicInteger();

    private final List<Runnable> pendingAdapterLoads = new CopyOnWriteArrayList<>();
    /** Highest number of replicas that each model had at the same time, by model name without version. */
    final Map<String, Long> maxReplicasByModel = new ConcurrentHashMap<>();

    private final Map<PeerAddress, FakeEngine> engines = new ConcurrentHashMap<>();

    /** State of one engine; guarded by its own monitor. */
    private static final class FakeEngine {
        private final String runner;
        private final boolean fencing;
        private final Map<ModelVersion, ModelState> models = new TreeMap<>();
        private final Map<ModelVersion, List<String>> adapters = new TreeMap<>();
        /** Highest fencing token of an accepted order. */
        private long fence;

        private Optional<String> softwareVersion = Optional.empty();

        FakeEngine(String runner, boolean fencing) {
            this.runner = runner;
            this.fencing = fencing;
        }
    }

    /** Returns clients that use this platform instead of HTTP. */
    public PlatformClients clients() {
        return new PlatformClients(
                kv,
                KvCallBudget.of(
                        new CoordinatorSettings.KvSettings("127.0.0.1:1", 1, 1, 1, 1, 1), (reads, writes) -> {}),
                () -> List.copyOf(hosts.values()),
                () -> new WeightCatalogue(10, weightStoreDown ? 0 : 4, adaptersInFlight, weights),
                this);
    }

    /** Adds a live runner whose engine rejects orders with an outdated fencing token if {@code fencing} is true. */
    public void addRunner(String name, String zone, boolean fencing) {
        PeerAddress address = new PeerAddress("127.9.0.1", 1 + hosts.size());
        engines.put(address, new FakeEngine(name, fencing));
        hosts.put(
                name,
                new Host(name, HostKind.RUNNER, HostState.LIVE, address, zone, "south", Optional.empty(), fencing));
    }

    /** Adds a live entry host to the host list. */
    public void addEntryHost(String name, String address, String zone) {
        PeerAddress parsedAddress = PeerAddress.parse(address);
        hosts.put(
                name,
                new Host(name, HostKind.ENTRY, HostState.LIVE, parsedAddress, zone, "south", Optional.empty(), false));
    }

    /** Changes the state of a host in the host list. */
    public void setState(String host, HostState state) {
        hosts.computeIfPresent(
                host,
                (name, previous) -> new Host(
                        name,
                        previous.kind(),
                        state,
                        previous.address(),
                        previous.zone(),
                        previous.region(),
                        previous.service(),
                        previous.fencing()));
    }

    /** Terminates a runner: it is listed as gone and its engine no longer answers. */
    public void terminateHost(String host) {
        setState(host, HostState.GONE);
        engines.remove(hosts.get(host).address());
    }

    /** Has a runner's engine load models that nobody ordered, as late orders of an earlier owner do. */
    public void loadUnordered(String runner, List<ModelVersion> models) {
        FakeEngine engine = engines.get(hosts.get(runner).address());
        synchronized (engine) {
            models.forEach(model -> engine.models.put(model, ModelState.LOADING));
        }
    }

    /** Has a runner's engine tell another software version, as a new process of it does. */
    public void setSoftwareVersion(String runner, String version) {
        FakeEngine engine = engines.get(hosts.get(runner).address());
        synchronized (engine) {
            engine.softwareVersion = Optional.of(version);
        }
    }

    /** Returns the highest fencing token that a runner's engine has accepted. */
    public long fence(String runner) {
        return engines.get(hosts.get(runner).address()).fence;
    }

    /** Adds an adapter of a model version to the weight store's catalogue. */
    void addAdapter(String model, String adapter) {
        weights.add(new Weight(ModelVersion.parse(model), Optional.of(adapter), 1, 1));
    }

    /** Adds a model version to the weight store's catalogue. */
    public void addModel(String model) {
        weights.add(new Weight(ModelVersion.parse(model), Optional.empty(), 1, MODEL_BYTES));
    }

    /** Finishes all pending model loads and stops holding new ones. */
    public void finishLoads() {
        holdLoads = false;
        engines.values().forEach(engine -> {
            synchronized (engine) {
                engine.models.replaceAll((model, state) -> ModelState.LOADED);
            }
        });
    }

    /** Returns the number of engines that have a version of the model loaded or loading, counting each version. */
    long countReplicas(String model) {
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
        FakeEngine engine = engines.get(address);
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
        maxReplicasByModel.merge(model, countReplicas(model), Math::max);
        maxConcurrentLoads.accumulateAndGet(countLoading(), Math::max);
        return new LoadOutcome.Accepted();
    }

    private LoadOutcome loadAdapter(FakeEngine engine, LoadOrder order) {
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
        pendingAdapterLoads.add(finish);
        maxConcurrentAdapterLoads.accumulateAndGet(pendingAdapterLoads.size(), Math::max);
        return new LoadOutcome.Accepted();
    }

    /** Finishes the pending adapter load that was ordered first. */
    void finishOneAdapterLoad() {
        pendingAdapterLoads.remove(0).run();
    }

    /** Finishes one pending model load. */
    void finishOneLoad() {
        for (FakeEngine engine : engines.values()) {
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

    /** Returns the number of models that are loading now on all engines. */
    int countLoading() {
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
        FakeEngine engine = engines.get(address);
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
        FakeEngine engine = engines.get(address);
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
                    List.of(),
                    engine.softwareVersion);
        }
    }
}
