package io.persimmonstack.standin;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.standin.engine.EngineGroup;
import io.persimmonstack.standin.engine.EngineStandin;
import io.persimmonstack.standin.hosts.HostListSettings.EntryHost;
import io.persimmonstack.standin.hosts.HostListStandin;
import io.persimmonstack.standin.hosts.HostedTarget;
import io.persimmonstack.standin.hosts.ListedHost;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.http.StandinPort;
import io.persimmonstack.standin.http.StandinServer;
import io.persimmonstack.standin.kv.KvStandin;
import io.persimmonstack.standin.ledger.ReplicaTracker;
import io.persimmonstack.standin.ledger.RunTracker;
import io.persimmonstack.standin.service.ServiceGroup;
import io.persimmonstack.standin.service.ServiceStandin;
import io.persimmonstack.standin.weights.WeightStoreStandin;
import io.persimmonstack.standin.weights.WeightTransferSimulator;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The running stand-ins of one process, each on its own port.
 *
 * <pre>{@code
 * try (Standins standins = Standins.start(settings)) {
 *     PeerAddress kv = standins.address("kv");
 * }
 * }</pre>
 */
public final class Standins implements AutoCloseable {
    /** Name under which {@link #address} finds the key-value service. */
    public static final String KV = "kv";
    /** Name under which {@link #address} finds the host list. */
    public static final String HOST_LIST = "hostList";
    /** Name under which {@link #address} finds the weight store. */
    public static final String WEIGHT_STORE = "weightStore";

    private final StandinSettings settings;
    private final ReplicaTracker replicaTracker = ReplicaTracker.create();
    private final RunTracker runTracker = RunTracker.create();
    private final HostListStandin hostList = HostListStandin.create(replicaTracker, runTracker);
    private final Map<String, StandinPort> ports = new LinkedHashMap<>();
    private final List<PendingHost> pendingHosts = new ArrayList<>();
    private StandinServer server;

    private Standins(StandinSettings settings) {
        this.settings = settings;
    }

    /** Engine or service instance to add to the host list as soon as the server has bound its port. */
    private record PendingHost(
            String name,
            String kind,
            String zone,
            String region,
            String service,
            Boolean epochs,
            HostedTarget target) {}

    /**
     * Starts all stand-ins of the settings.
     *
     * @param settings stand-ins to start and their ports
     * @return the running stand-ins
     * @throws ProgramException if a port cannot be bound
     */
    public static Standins start(StandinSettings settings) throws ProgramException {
        Standins standins = new Standins(settings);
        standins.registerAll();
        standins.server = StandinServer.start(settings.ip(), List.copyOf(standins.ports.values()));
        standins.publishHosts();
        return standins;
    }

    /**
     * Returns the address of a stand-in.
     *
     * @param name {@link #KV}, {@link #HOST_LIST}, {@link #WEIGHT_STORE}, or the name of an engine or service instance
     * @return IP address and bound port
     * @throws IllegalArgumentException if no stand-in has that name
     */
    public PeerAddress address(String name) {
        int index = List.copyOf(ports.keySet()).indexOf(name);
        if (index < 0) {
            throw new IllegalArgumentException("stand-in '" + name + "': expected one of " + ports.keySet());
        }
        return new PeerAddress(settings.ip(), server.port(index));
    }

    /** Returns the tracker of the runs and violations of all engines and services. */
    public RunTracker runTracker() {
        return runTracker;
    }

    /** Returns the tracker of the replicas on all engines. */
    public ReplicaTracker replicaTracker() {
        return replicaTracker;
    }

    /** Creates all stand-ins and assigns them their ports. */
    private void registerAll() {
        settings.kv().ifPresent(kv -> register(KV, kv.port(), KvStandin.create()));
        settings.hostList().ifPresent(list -> register(HOST_LIST, list.port(), hostList));
        Optional<WeightTransferSimulator> transfers = settings.weightStore().map(WeightTransferSimulator::of);
        transfers.ifPresent(simulator -> {
            register(WEIGHT_STORE, simulator.settings().port(), WeightStoreStandin.of(simulator));
            hostList.addTargetLedger(simulator::ledger);
        });
        settings.engines().forEach(group -> addEngines(group, transfers.orElseThrow()));
        settings.services().forEach(this::addServices);
    }

    private void addEngines(EngineGroup group, WeightTransferSimulator transfers) {
        for (int i = 0; i < group.count(); i++) {
            String name = group.engineName(i);
            EngineStandin engine = EngineStandin.create(name, group, transfers, replicaTracker, runTracker);
            register(name, group.port(i), engine);
            hostList.addTargetLedger(engine::ledger);
            pendingHosts.add(
                    new PendingHost(name, "runner", group.zone(i), group.region(), null, group.fencing(), engine));
        }
    }

    private void addServices(ServiceGroup group) {
        for (int i = 0; i < group.count(); i++) {
            String name = group.instanceName(i);
            ServiceStandin instance = ServiceStandin.create(name, group, runTracker);
            register(name, group.port(i), instance);
            hostList.addTargetLedger(instance::ledger);
            pendingHosts.add(
                    new PendingHost(name, "service", group.zone(i), group.region(), group.name(), null, instance));
        }
    }

    private void register(String name, int port, StandinHandler handler) {
        if (ports.putIfAbsent(name, new StandinPort(port, handler)) != null) {
            throw new IllegalArgumentException("stand-in '" + name + "': name used twice, expected each name once");
        }
    }

    /** Adds all hosts to the host list; the ports of engines and services must be bound. */
    private void publishHosts() {
        settings.hostList().ifPresent(list -> list.entryHosts().forEach(host -> hostList.add(toListedHost(host))));
        for (PendingHost host : pendingHosts) {
            ListedHost.Body body = new ListedHost.Body(
                    host.name(),
                    host.kind(),
                    "live",
                    address(host.name()).toString(),
                    host.zone(),
                    host.region(),
                    host.service(),
                    host.epochs());
            hostList.add(ListedHost.live(body, Optional.of(host.target())));
        }
    }

    private static ListedHost toListedHost(EntryHost host) {
        ListedHost.Body body = new ListedHost.Body(
                host.host(), "entry", "live", host.address(), host.zone(), host.region(), null, null);
        return ListedHost.live(body, Optional.empty());
    }

    @Override
    public void close() {
        server.close();
    }
}
