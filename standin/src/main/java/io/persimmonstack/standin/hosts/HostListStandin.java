package io.persimmonstack.standin.hosts;

import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.standin.StandinEvent;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.ledger.ReplicaTracker;
import io.persimmonstack.standin.ledger.RunTracker;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/**
 * Stand-in of the host list. {@code GET /hosts} returns the list, unless the entity tag of the request still matches.
 * {@code POST /hosts/<name>} changes the state of a host. {@code GET /ledger} combines the ledgers of all engines and
 * services of the process and of the weight store.
 */
public final class HostListStandin implements StandinHandler {
    private static final EventLog LOG = EventLog.of(HostListStandin.class);
    private static final String JSON = "application/json";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final String HOST_PATH = "/hosts/";
    private static final Set<String> STATES = Set.of("live", "leaving", "gone");
    private final List<ListedHost> hosts = new CopyOnWriteArrayList<>();
    private final List<Supplier<Record>> targetLedgers = new CopyOnWriteArrayList<>();
    private final FaultInjector faults = FaultInjector.of(FaultType.LAG, FaultType.DOWN);
    private final ReplicaTracker replicaTracker;
    private final RunTracker runTracker;

    private HostListStandin(ReplicaTracker replicaTracker, RunTracker runTracker) {
        this.replicaTracker = replicaTracker;
        this.runTracker = runTracker;
    }

    /** Returns an empty list whose ledger includes the counts of the given trackers. */
    public static HostListStandin create(ReplicaTracker replicaTracker, RunTracker runTracker) {
        return new HostListStandin(replicaTracker, runTracker);
    }

    /** Adds a host to the end of the list. */
    public void add(ListedHost host) {
        hosts.add(host);
    }

    /** Adds the ledger of an engine, a service instance or the weight store to the combined ledger. */
    public void addTargetLedger(Supplier<Record> ledger) {
        targetLedgers.add(ledger);
    }

    /** Returns the fault injector of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Response of {@code GET /hosts}. */
    private record HostsBody(List<ListedHost.Body> hosts) {}

    /** Request body of {@code POST /hosts/<name>}. */
    private record StateBody(String state) {}

    private record ErrorBody(String error) {}

    /** Response of {@code GET /ledger}; {@code targets} are the ledgers of engines, services and weight store. */
    private record Ledger(
            List<ReplicaTracker.Count> replicas,
            long runs,
            int idempotencyKeys,
            List<String> requests,
            List<String> violations,
            List<Record> targets) {}

    @Override
    public void handle(StandinExchange exchange) throws IOException, InterruptedException {
        if (faults.serveControlRequest(exchange, this::ledger)) {
            return;
        }
        String route = exchange.route();
        if (route.startsWith("POST " + HOST_PATH)) {
            changeState(exchange);
            return;
        }
        faults.failIfDown();
        if (route.equals("GET /hosts")) {
            int lagMs = faults.activeFault(FaultType.LAG).map(FaultOrder::ms).orElse(0);
            sendIfChanged(exchange, lagMs);
        } else {
            exchange.respond(NOT_FOUND, new ErrorBody(route + ": expected GET /hosts"));
        }
    }

    /** Sends the list as it was the given number of milliseconds ago, or 304 if the caller already has it. */
    private void sendIfChanged(StandinExchange exchange, int lagMs) throws IOException {
        byte[] body = StandinExchange.json(new HostsBody(
                hosts.stream().map(host -> host.bodyWithLag(lagMs)).toList()));
        String entityTag = '"' + UUID.nameUUIDFromBytes(body).toString() + '"';
        exchange.setHeader("ETag", entityTag);
        if (exchange.header("If-None-Match").filter(entityTag::equals).isPresent()) {
            exchange.respondNotModified();
        } else {
            exchange.respond(OK, JSON, body);
        }
    }

    private void changeState(StandinExchange exchange) throws IOException {
        String name = exchange.path().substring(HOST_PATH.length());
        String state = exchange.parseBody(StateBody.class).map(StateBody::state).orElse("");
        Optional<ListedHost> host =
                hosts.stream().filter(listed -> listed.name().equals(name)).findFirst();
        if (host.isEmpty() || state == null || !STATES.contains(state)) {
            String error = "host '" + name + "', state '" + state + "'; expected a listed host and one of " + STATES;
            exchange.respond(BAD_REQUEST, new ErrorBody(error));
            return;
        }
        host.get().setState(state);
        LOG.write(StandinEvent.HOST_STATE, name, state);
        exchange.respond(OK, host.get().bodyWithLag(0));
    }

    private Ledger ledger() {
        List<Record> targets = targetLedgers.stream().map(Supplier::get).toList();
        return new Ledger(
                replicaTracker.counts(),
                runTracker.runCount(),
                runTracker.idempotencyKeyCount(),
                runTracker.requestIds(),
                runTracker.violations(),
                targets);
    }
}
