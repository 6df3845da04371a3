package io.persimmonstack.standin.fault;

import io.persimmonstack.runtime.NearestMatch;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.standin.StandinEvent;
import io.persimmonstack.standin.http.StandinExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Holds the active faults of one stand-in and decides which of its operations they affect. {@code POST /faults} sets a
 * fault and {@code DELETE /faults} clears all. Thread-safe.
 */
public final class FaultInjector {
    private static final EventLog LOG = EventLog.of(FaultInjector.class);
    /** Value of {@link #silenceGeneration} at the first request of a connection. */
    private static final AttachmentKey<Long> CONNECTION_GENERATION = AttachmentKey.create(Long.class);
    /** Fixed so that {@link FaultOrder#share} selects the same occurrences in every run. */
    private static final long RANDOM_SEED = 20261203;

    private static final int BAD_REQUEST = 400;
    private static final int OK = 200;
    private final Set<FaultType> supported;
    private final Map<FaultType, FaultOrder> activeFaults = new EnumMap<>(FaultType.class);
    /** Occurrences affected since the fault was set. */
    private final Map<FaultType, Integer> hitCounts = new EnumMap<>(FaultType.class);
    /** Incremented each time that the fault SILENT is set; connections of an earlier generation are silenced. */
    private final AtomicLong silenceGeneration = new AtomicLong();
    /** Never counted down; silenced requests wait for it until their thread is interrupted. */
    private final CountDownLatch neverReleased = new CountDownLatch(1);

    private final Random random = new Random(RANDOM_SEED);
    private volatile Runnable changeListener = () -> {};

    private FaultInjector(Set<FaultType> supported) {
        this.supported = supported;
    }

    /** Returns an injector without active faults for a stand-in that supports the given faults. */
    public static FaultInjector of(FaultType... supported) {
        return new FaultInjector(EnumSet.copyOf(Arrays.asList(supported)));
    }

    /** Sets the listener that runs after each change of the active faults, before the command is answered. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Response to a fault command; {@code error} is null if the command succeeded. */
    private record FaultsBody(List<String> active, String error) {}

    /**
     * Serves {@code POST /faults} and {@code DELETE /faults}.
     *
     * @param exchange request to serve
     * @return whether the request was a fault command and has been answered
     * @throws IOException if the connection fails
     */
    public boolean serveFaultCommand(StandinExchange exchange) throws IOException {
        if (exchange.route().equals("DELETE /faults")) {
            clear();
            changeListener.run();
            exchange.respond(OK, new FaultsBody(activeFaultNames(), null));
            return true;
        }
        if (!exchange.route().equals("POST /faults")) {
            return false;
        }
        Optional<FaultOrder> order = exchange.parseBody(FaultOrder.class);
        Optional<FaultType> type =
                order.flatMap(o -> FaultType.parse(o.fault())).filter(supported::contains);
        if (type.isEmpty()) {
            List<String> expected = supported.stream().map(FaultType::wireName).toList();
            String requested = order.map(FaultOrder::fault).orElse("");
            String hint = requested == null ? "" : NearestMatch.hint(requested, expected);
            exchange.respond(
                    BAD_REQUEST,
                    new FaultsBody(
                            activeFaultNames(),
                            "fault: '" + requested + "'; expected one of " + String.join(", ", expected) + hint));
            return true;
        }
        inject(order.get());
        changeListener.run();
        exchange.respond(OK, new FaultsBody(activeFaultNames(), null));
        return true;
    }

    /**
     * Serves the requests that most stand-ins have in common: fault commands and {@code GET /ledger}. Blocks if the
     * connection is silenced.
     *
     * @param exchange request to serve
     * @param ledger supplies the body of {@code GET /ledger}: counters of what the stand-in has served
     * @return whether the request has been answered; if not, the stand-in has to serve it
     * @throws IOException if the connection fails
     * @throws InterruptedException if the server stops while the connection is silenced
     */
    public boolean serveControlRequest(StandinExchange exchange, Supplier<Record> ledger)
            throws IOException, InterruptedException {
        if (serveFaultCommand(exchange)) {
            return true;
        }
        if (exchange.route().equals("GET /ledger")) {
            exchange.respond(OK, ledger.get());
            return true;
        }
        blockIfSilent(exchange.connection());
        return false;
    }

    /**
     * Throws if the fault {@link FaultType#DOWN} affects this request.
     *
     * @throws IOException to close the connection without a response
     */
    public void failIfDown() throws IOException {
        if (trigger(FaultType.DOWN).isPresent()) {
            throw new IOException("down by an injected fault");
        }
    }

    /**
     * Activates a fault, replacing an earlier order for the same fault.
     *
     * @param order fault and its parameters
     * @throws IllegalArgumentException if there is no fault of that name
     */
    public synchronized void inject(FaultOrder order) {
        FaultType type = FaultType.parse(order.fault())
                .orElseThrow(() -> new IllegalArgumentException(
                        "fault '" + order.fault() + "': expected the wire name of a fault"));
        LOG.write(StandinEvent.FAULT_SET, order);
        activeFaults.put(type, order);
        hitCounts.put(type, 0);
        if (type == FaultType.SILENT) {
            silenceGeneration.incrementAndGet();
        }
    }

    /** Ends all faults; connections that are already silenced stay so. */
    public synchronized void clear() {
        LOG.write(StandinEvent.FAULTS_CLEARED);
        activeFaults.clear();
    }

    /**
     * Decides whether a fault affects the current occurrence and, if so, counts it. The fault ends once it has reached
     * its count.
     *
     * @param type fault to check
     * @return parameters of the fault, or empty if it does not affect this occurrence
     */
    public synchronized Optional<FaultOrder> trigger(FaultType type) {
        FaultOrder order = activeFaults.get(type);
        if (order == null || order.share() > 0 && random.nextDouble() >= order.share()) {
            return Optional.empty();
        }
        int hitCount = hitCounts.merge(type, 1, Integer::sum);
        if (order.count() > 0 && hitCount >= order.count()) {
            activeFaults.remove(type);
        }
        return Optional.of(order);
    }

    /** Returns the parameters of a fault if it is active, without counting an occurrence. */
    public synchronized Optional<FaultOrder> activeFault(FaultType type) {
        return Optional.ofNullable(activeFaults.get(type));
    }

    /** Blocks until the server stops if the connection was in use when {@link FaultType#SILENT} was set. */
    public void blockIfSilent(ServerConnection connection) throws InterruptedException {
        if (isSilent(connection)) {
            neverReleased.await();
        }
    }

    /**
     * Throws if the connection was in use when {@link FaultType#SILENT} was set, so that the caller can release the
     * resources of the request. The caller then leaves the exchange to {@link #blockUntilInterrupted()}.
     *
     * @param connection connection of the request
     * @throws SilentConnectionException if the connection is silenced
     */
    public void failIfSilent(ServerConnection connection) throws SilentConnectionException {
        if (isSilent(connection)) {
            throw new SilentConnectionException();
        }
    }

    private boolean isSilent(ServerConnection connection) {
        Long connectionGeneration = connection.getAttachment(CONNECTION_GENERATION);
        if (connectionGeneration == null) {
            connection.putAttachment(CONNECTION_GENERATION, silenceGeneration.get());
            return false;
        }
        return connectionGeneration < silenceGeneration.get();
    }

    /** Blocks until the server stops and interrupts the thread. */
    public void blockUntilInterrupted() throws InterruptedException {
        neverReleased.await();
    }

    private synchronized List<String> activeFaultNames() {
        return activeFaults.keySet().stream().map(FaultType::wireName).toList();
    }
}
