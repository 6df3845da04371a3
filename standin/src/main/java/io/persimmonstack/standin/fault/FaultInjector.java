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

/** Faults active on one stand-in. */
public final class FaultInjector {
    private static final EventLog LOG = EventLog.of(FaultInjector.class);
    private static final AttachmentKey<Long> CONNECTION_GENERATION = AttachmentKey.create(Long.class);
    private static final long SEED = 20261203;
    private static final int BAD_REQUEST = 400;
    private static final int OK = 200;
    private final Set<FaultType> supported;
    private final Map<FaultType, FaultOrder> activeFaults = new EnumMap<>(FaultType.class);
    private final Map<FaultType, Integer> hitCounts = new EnumMap<>(FaultType.class);
    private final AtomicLong silenceGeneration = new AtomicLong();
    private final CountDownLatch neverReleased = new CountDownLatch(1);
    private final Random random = new Random(SEED);
    private volatile Runnable changeListener = () -> {};

    private FaultInjector(Set<FaultType> supported) {
        this.supported = supported;
    }

    /** Returns a board for a stand-in that knows the given faults. */
    public static FaultInjector of(FaultType... supported) {
        return new FaultInjector(EnumSet.copyOf(Arrays.asList(supported)));
    }

    /** Calls {@code changed} after each change, before the command is answered. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    private record FaultsBody(List<String> active, String error) {}

    /**
     * Serves {@code POST /faults} and {@code DELETE /faults}.
     *
     * @param exchange request
     * @return whether the request was for this board
     * @throws IOException if the connection fails
     */
    public boolean serveFaultCommand(StandinExchange exchange) throws IOException {
        if (exchange.route().equals("DELETE /faults")) {
            clear();
            changeListener.run();
            exchange.answer(OK, new FaultsBody(activeFaultNames(), null));
            return true;
        }
        if (!exchange.route().equals("POST /faults")) {
            return false;
        }
        Optional<FaultOrder> order = exchange.parseBody(FaultOrder.class);
        Optional<FaultType> name =
                order.flatMap(o -> FaultType.parse(o.fault())).filter(supported::contains);
        if (name.isEmpty()) {
            List<String> expected = supported.stream().map(FaultType::wireName).toList();
            String requested = order.map(FaultOrder::fault).orElse("");
            String hint = requested == null ? "" : NearestMatch.hint(requested, expected);
            exchange.answer(
                    BAD_REQUEST,
                    new FaultsBody(
                            activeFaultNames(), "fault: '" + requested + "'; expected one of " + String.join(", ", expected) + hint));
            return true;
        }
        inject(order.get());
        changeListener.run();
        exchange.answer(OK, new FaultsBody(activeFaultNames(), null));
        return true;
    }

    /**
     * Serves what comes before a stand-in's own exchanges: commands to this board, the ledger, and silence.
     *
     * @param exchange request
     * @param ledger what the stand-in saw, for {@code GET /ledger}
     * @return whether the request was served
     * @throws IOException if the connection fails
     * @throws InterruptedException if the server stops while the connection is silent
     */
    public boolean serveControlRequest(StandinExchange exchange, Supplier<Record> ledger) throws IOException, InterruptedException {
        if (serveFaultCommand(exchange)) {
            return true;
        }
        if (exchange.route().equals("GET /ledger")) {
            exchange.answer(OK, ledger.get());
            return true;
        }
        blockIfSilent(exchange.connection());
        return false;
    }

    /** Fails where the stand-in is down. */
    public void failIfDown() throws IOException {
        if (trigger(FaultType.DOWN).isPresent()) {
            throw new IOException("down by command");
        }
    }

    /** Makes a fault active. */
    public synchronized void inject(FaultOrder order) {
        FaultType name = FaultType.parse(order.fault())
                .orElseThrow(() -> new IllegalArgumentException("fault '" + order.fault() + "': unknown"));
        LOG.write(StandinEvent.FAULT_SET, order);
        activeFaults.put(name, order);
        hitCounts.put(name, 0);
        if (name == FaultType.SILENT) {
            silenceGeneration.incrementAndGet();
        }
    }

    /** Ends all faults; silent connections stay silent. */
    public synchronized void clear() {
        LOG.write(StandinEvent.FAULTS_CLEARED);
        activeFaults.clear();
    }

    /** Returns the measures of a fault if it hitCounts this occurrence. */
    public synchronized Optional<FaultOrder> trigger(FaultType name) {
        FaultOrder order = activeFaults.get(name);
        if (order == null || order.share() > 0 && random.nextDouble() >= order.share()) {
            return Optional.empty();
        }
        int hitCount = hitCounts.merge(name, 1, Integer::sum);
        if (order.count() > 0 && hitCount >= order.count()) {
            activeFaults.remove(name);
        }
        return Optional.of(order);
    }

    /** Returns the measures of an active fault without counting an occurrence. */
    public synchronized Optional<FaultOrder> activeFault(FaultType name) {
        return Optional.ofNullable(activeFaults.get(name));
    }

    /** Blocks for good if the connection was open when the stand-in fell silent. */
    public void blockIfSilent(ServerConnection connection) throws InterruptedException {
        if (isSilent(connection)) {
            neverReleased.await();
        }
    }

    /**
     * Ends work whose connection was open when the stand-in fell silent, so that what it holds is freed.
     *
     * @param connection connection that the request came on
     * @throws SilentConnectionException if the connection is silent; the exchange is then left to {@link #blockUntilInterrupted()}
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

    /** Blocks until the server stops. */
    public void blockUntilInterrupted() throws InterruptedException {
        neverReleased.await();
    }

    private synchronized List<String> activeFaultNames() {
        return activeFaults.keySet().stream().map(FaultType::wireName).toList();
    }
}
