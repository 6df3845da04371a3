package io.persimmonstack.coordinator;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.HttpEngineOrders;
import io.persimmonstack.backends.hosts.HostList;
import io.persimmonstack.backends.hosts.HttpHostList;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.backends.weights.HttpWeightStore;
import io.persimmonstack.backends.weights.WeightStore;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.tls.ReloadedFiles;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Clients of the services that the platform provides.
 *
 * @param kv client of the key-value store
 * @param kvBudget limits the rate of this node's calls to the key-value store
 * @param hostList client of the host list
 * @param weightStore client of the weight store
 * @param engines client that sends orders to engines and reads their state
 */
public record PlatformClients(
        KvStore kv, KvCallBudget kvBudget, HostList hostList, WeightStore weightStore, EngineOrders engines) {
    private static final HttpTimeouts HTTP_TIMEOUTS = HttpTimeouts.of(1_000, 2_000, 2_000);
    /** Longer than for other calls, because an engine answers only when its requests in progress have finished. */
    private static final HttpTimeouts UNLOAD_TIMEOUTS = HttpTimeouts.of(1_000, 120_000, 10_000);

    private static final int WATCH_SILENCE_TIMEOUT_MS = 15_000;
    private static final int MAX_BUDGET_WAIT_MS = 1_000;

    /**
     * Creates clients that call the platform over HTTP.
     *
     * @param settings addresses and limits
     * @param metrics registry in which calls are counted
     * @param closer closes the connections on shutdown
     * @return the clients
     * @throws ProgramException if the file with the order token cannot be read
     */
    static PlatformClients open(CoordinatorSettings settings, MetricRegistry metrics, Closer closer)
            throws ProgramException {
        HttpConnector connector = closer.add(
                HttpConnector.create(HttpConnectorOptions.defaults(metrics).withIoThreads(1)));
        CoordinatorSettings.KvSettings kv = settings.kv();
        KvOptions kvOptions = KvOptions.defaults()
                .withWaits(kv.timeoutMs(), WATCH_SILENCE_TIMEOUT_MS)
                .withBudget(kv.readsPerSecond(), kv.writesPerSecond(), MAX_BUDGET_WAIT_MS);
        EtcdKvStore kvStore = EtcdKvStore.create(connector, PeerAddress.parse(kv.endpoint()), kvOptions, metrics);
        return new PlatformClients(
                kvStore,
                KvCallBudget.of(kv, kvStore),
                HttpHostList.of(connector, PeerAddress.parse(settings.hostList()), HTTP_TIMEOUTS),
                HttpWeightStore.of(connector, PeerAddress.parse(settings.weightStore()), HTTP_TIMEOUTS),
                HttpEngineOrders.of(connector, HTTP_TIMEOUTS, UNLOAD_TIMEOUTS, orderTokenSupplier(settings, closer)));
    }

    private static Supplier<Optional<String>> orderTokenSupplier(CoordinatorSettings settings, Closer closer)
            throws ProgramException {
        if (settings.orderToken().isEmpty()) {
            return Optional::empty;
        }
        CoordinatorSettings.OrderTokenSettings token = settings.orderToken().get();
        Path file = Path.of(token.file());
        ReloadedFiles<String> reloadedToken = closer.add(
                ReloadedFiles.start("orderToken.file", List.of(file), token.reloadMs(), () -> readToken(file)));
        return () -> Optional.of(reloadedToken.get());
    }

    private static String readToken(Path file) throws IOException {
        String token = Files.readString(file).strip();
        if (!token.matches("[!-~]+")) {
            throw new IOException(token.length() + " characters; expected printable ASCII characters without spaces");
        }
        return token;
    }
}
