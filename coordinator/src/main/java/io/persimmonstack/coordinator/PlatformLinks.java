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
 * The platform's interfaces.
 *
 * @param kv key-value service
 * @param budget this node's share of the calls to the key-value service
 * @param hostList list of hosts
 * @param weightStore weight store
 * @param engines orders and states of engines
 */
public record PlatformLinks(
        KvStore kv, FleetBudget budget, HostList hostList, WeightStore weightStore, EngineOrders engines) {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 2_000, 2_000);
    private static final HttpTimeouts UNLOAD_TIMEOUTS = HttpTimeouts.of(1_000, 120_000, 10_000);
    private static final int WATCH_SILENCE_MS = 15_000;
    private static final int BUDGET_WAIT_MS = 1_000;

    /**
     * Links to the platform over HTTP.
     *
     * @param settings addresses
     * @param metrics where calls are counted
     * @param closer closes the connections
     * @return the links
     * @throws ProgramException if the token of orders cannot be read
     */
    static PlatformLinks open(CoordinatorSettings settings, MetricRegistry metrics, Closer closer)
            throws ProgramException {
        HttpConnector connector = closer.add(
                HttpConnector.create(HttpConnectorOptions.defaults(metrics).withIoThreads(1)));
        CoordinatorSettings.KvSettings kv = settings.kv();
        KvOptions options = KvOptions.defaults()
                .withTimeouts(kv.timeoutMs(), WATCH_SILENCE_MS)
                .withBudget(kv.readsPerSecond(), kv.writesPerSecond(), BUDGET_WAIT_MS);
        EtcdKvStore store = EtcdKvStore.create(connector, PeerAddress.parse(kv.endpoint()), options, metrics);
        return new PlatformLinks(
                store,
                FleetBudget.of(kv, store),
                HttpHostList.of(connector, PeerAddress.parse(settings.hostList()), TIMEOUTS),
                HttpWeightStore.of(connector, PeerAddress.parse(settings.weightStore()), TIMEOUTS),
                HttpEngineOrders.of(connector, TIMEOUTS, UNLOAD_TIMEOUTS, orderToken(settings, closer)));
    }

    private static Supplier<Optional<String>> orderToken(CoordinatorSettings settings, Closer closer)
            throws ProgramException {
        if (settings.orderToken().isEmpty()) {
            return Optional::empty;
        }
        CoordinatorSettings.OrderTokenSettings token = settings.orderToken().get();
        Path file = Path.of(token.file());
        ReloadedFiles<String> content = closer.add(
                ReloadedFiles.start("orderToken.file", List.of(file), token.reloadMs(), () -> readToken(file)));
        return () -> Optional.of(content.get());
    }

    private static String readToken(Path file) throws IOException {
        String token = Files.readString(file).strip();
        if (!token.matches("[!-~]+")) {
            throw new IOException(token.length() + " characters; expected one line of printable ASCII characters");
        }
        return token;
    }
}
