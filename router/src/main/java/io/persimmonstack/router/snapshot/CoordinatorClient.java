package io.persimmonstack.router.snapshot;

import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Calls coordinators: first the one on the router's own host, then the others from the settings, then those that the
 * fleet view shows. A coordinator whose last call failed is tried after the others for 10 s. Thread-safe.
 */
public final class CoordinatorClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long FAILURE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private final Map<PeerAddress, Long> failedAtNanos = new ConcurrentHashMap<>();
    private final List<PeerAddress> configured;
    private final FleetViews views;
    private final ThriftPeers<Coordinator.Client> peers;

    private CoordinatorClient(List<PeerAddress> configured, FleetViews views, PeerSecurity security) {
        this.peers = ThriftPeers.of(new Coordinator.Client.Factory(), CONNECT_TIMEOUT_MS, security);
        this.configured = List.copyOf(configured);
        this.views = views;
    }

    /**
     * Creates a client.
     *
     * @param configured coordinators from the settings, the one on the router's own host first
     * @param views source of further coordinators
     * @param security certificates shown to and required from coordinators
     * @return the client
     */
    public static CoordinatorClient of(List<PeerAddress> configured, FleetViews views, PeerSecurity security) {
        return new CoordinatorClient(configured, views, security);
    }

    /** Returns the addresses of all known coordinators, in the order in which to try them. */
    public List<PeerAddress> candidates() {
        Set<PeerAddress> addresses = new LinkedHashSet<>(configured);
        addresses.addAll(views.current().coordinators());
        List<PeerAddress> ordered = new ArrayList<>(addresses);
        ordered.sort(Comparator.comparing(this::failedRecently));
        return ordered;
    }

    private boolean failedRecently(PeerAddress address) {
        Long failureNanos = failedAtNanos.get(address);
        return failureNanos != null && System.nanoTime() - failureNanos < FAILURE_EXPIRY_NANOS;
    }

    /**
     * Calls one coordinator.
     *
     * @param address coordinator to call
     * @param timeoutMs longest wait for the answer in milliseconds
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws WireException if the coordinator did not answer or refused the call
     */
    public <T> T call(PeerAddress address, int timeoutMs, ThriftPeers.Call<Coordinator.Client, T> call)
            throws WireException {
        try {
            T answer = peers.call(address, timeoutMs, call);
            failedAtNanos.remove(address);
            return answer;
        } catch (WireException e) {
            failedAtNanos.put(address, System.nanoTime());
            throw e;
        }
    }

    /**
     * Calls the coordinators one after another, in the order of {@link #candidates()}, until one answers.
     *
     * @param timeoutMs longest wait for each answer in milliseconds
     * @param call call to make
     * @param <T> type of the answer
     * @return the first answer
     * @throws WireException error of the last call, if none succeeded
     */
    public <T> T callAny(int timeoutMs, ThriftPeers.Call<Coordinator.Client, T> call) throws WireException {
        WireException lastFailure = null;
        for (PeerAddress candidate : candidates()) {
            try {
                return call(candidate, timeoutMs, call);
            } catch (WireException e) {
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    @Override
    public void close() {
        peers.close();
    }
}
