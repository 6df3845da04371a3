package io.persimmonstack.load.bench;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.CommitOutcome;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.feed.StoredHead;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.HdrHistogram.Histogram;

/** Commits configuration changes and measures the time until each coordinator serves them. */
public final class PropagationMain {
    private static final int MAX_CHANGES = 10_000;
    private static final int KV_CALLS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;
    /** Longest wait for one change; a coordinator that does not serve it by then counts with this time. */
    private static final int MAX_WAIT_MS = 60_000;

    private final ConfigurationStore store;
    private final List<VersionWatcher> watchers;
    private final Histogram perCoordinatorMs = new Histogram(MAX_WAIT_MS, 3);
    private final Histogram slowestCoordinatorMs = new Histogram(MAX_WAIT_MS, 3);

    private PropagationMain(ConfigurationStore store, List<VersionWatcher> watchers) {
        this.store = store;
        this.watchers = watchers;
    }

    /**
     * Runs the benchmark.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        Options options = Options.of("propagation", "Measures when a configuration change is in force everywhere.")
                .section("Fleet")
                .value("kv", "ip:port", "key-value service; required")
                .value("coordinators", "ip:port,...", "coordinators to watch; required")
                .section("Measurement")
                .value("changes", "count", "changes to commit, 100 when absent")
                .value("pause-ms", "ms", "pause between changes, 200 when absent");
        try {
            run(options.parse(arguments));
            System.exit(0);
        } catch (RuntimeFailure e) {
            System.err.println("propagation: " + e.getMessage());
            System.exit(e.exitCode().code());
        }
    }

    private static void run(ParsedOptions parsed) throws RuntimeFailure {
        int changes = (int) parsed.number("changes", 100, 1, MAX_CHANGES);
        long pauseMs = parsed.number("pause-ms", 200, 0, MAX_WAIT_MS);
        KvOptions kvOptions = KvOptions.defaults().withBudget(KV_CALLS_PER_SECOND, KV_CALLS_PER_SECOND, 1_000);
        List<VersionWatcher> watchers = new ArrayList<>();
        for (String address : parsed.required("coordinators").split(",")) {
            watchers.add(VersionWatcher.start(PeerAddress.parse(address)));
        }
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            PeerAddress kv = PeerAddress.parse(parsed.required("kv"));
            EtcdKvStore etcd = EtcdKvStore.create(connector, kv, kvOptions, new MetricRegistry());
            ConfigurationStore store =
                    ConfigurationStore.of(etcd, ConfigurationHeadCodec.create(), TimeSource.system());
            new PropagationMain(store, watchers).measure(changes, pauseMs);
        }
    }

    private void measure(int changes, long pauseMs) throws ProgramException {
        try {
            for (int change = 0; change < changes; change++) {
                measureOneChange();
                Thread.sleep(pauseMs);
            }
        } catch (KvException | ConfigurationException e) {
            throw new ProgramException("the configuration cannot be changed: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        printReport(changes);
    }

    /** Commits one change, waits until all coordinators serve it and records the times from the start of the commit. */
    private void measureOneChange() throws KvException, ConfigurationException, ProgramException, InterruptedException {
        Optional<StoredHead> head = store.readHead();
        FleetConfiguration currentConfiguration = head.isEmpty()
                ? FleetConfiguration.empty()
                : ConfigurationCodec.decode(store.readContent(head.get().head()));
        FleetConfiguration nextConfiguration = withChangedDeadline(currentConfiguration);
        byte[] content = ConfigurationCodec.encode(nextConfiguration);
        long commitStartNanos = System.nanoTime();
        CommitOutcome outcome = store.commit(
                currentConfiguration.version(), content, UUID.randomUUID().toString(), "bench");
        if (!(outcome instanceof CommitOutcome.Committed)) {
            throw new ProgramException("another operator changed the configuration during the measurement");
        }
        long slowestMs = 0;
        for (VersionWatcher watcher : watchers) {
            long propagationMs = Math.max(
                    0,
                    (watcher.awaitVersionNanos(nextConfiguration.version(), MAX_WAIT_MS) - commitStartNanos)
                            / NANOS_PER_MS);
            perCoordinatorMs.recordValue(Math.min(MAX_WAIT_MS, propagationMs));
            slowestMs = Math.max(slowestMs, propagationMs);
        }
        slowestCoordinatorMs.recordValue(Math.min(MAX_WAIT_MS, slowestMs));
    }

    /** Returns the next version, with another deadline for the first deployment, or a first one if there is none. */
    private static FleetConfiguration withChangedDeadline(FleetConfiguration currentConfiguration) {
        List<Deployment> deployments = new ArrayList<>(currentConfiguration.deployments());
        Deployment first = deployments.isEmpty()
                ? new Deployment("bench", "bench", List.of("v1"), List.of(), List.of("bench"), 5, 1, 0, 1, 10_000)
                : deployments.removeFirst();
        deployments.addFirst(new Deployment(
                first.name(),
                first.model(),
                first.versions(),
                first.adapters(),
                first.callers(),
                first.priority(),
                first.replicaCap(),
                first.minReplicas(),
                first.coldStartWeight(),
                first.maxDeadlineMs() % 2 == 0 ? first.maxDeadlineMs() + 1 : first.maxDeadlineMs() - 1));
        return new FleetConfiguration(
                currentConfiguration.version() + 1,
                deployments,
                currentConfiguration.callers(),
                currentConfiguration.services(),
                currentConfiguration.changes());
    }

    private void printReport(int changes) {
        System.out.printf(
                Locale.ROOT,
                "coordinators %d, changes %d, milliseconds from the start of the commit%n",
                watchers.size(),
                changes);
        printPercentiles("each node", perCoordinatorMs);
        printPercentiles("everywhere", slowestCoordinatorMs);
    }

    private static void printPercentiles(String name, Histogram histogram) {
        System.out.printf(
                Locale.ROOT,
                "%-12s p50 %6d  p95 %6d  p99 %6d  max %6d%n",
                name,
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(95),
                histogram.getValueAtPercentile(99),
                histogram.getMaxValue());
    }
}
