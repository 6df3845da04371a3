package io.persimmonstack.load.bench;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorProgram;
import io.persimmonstack.coordinator.CoordinatorSettings;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.standin.StandinSettings;
import io.persimmonstack.standin.Standins;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Counts the calls of N coordinators in this process to the key-value service, by kind, at rest and in faults. */
public final class KvFaultsBenchmark {
    private static final List<String> KINDS = List.of("get", "list", "put", "delete", "watch");
    private static final int ZONES = 9;
    private static final int ZONES_IN_REGION = 3;
    private static final int CAP = 3;
    private static final int START_S = 45;
    private static final int SPREAD_S = 60;
    private static final int PHASE_S = 30;
    private static final int OUTAGE_S = 60;
    private final Closer closer = Closer.create();
    private final HttpClient http = closer.add(HttpClient.newHttpClient());
    private final Standins standins;
    private final List<String> addresses = new ArrayList<>();
    private final Map<Integer, Node> nodes = new TreeMap<>();
    private final Map<String, Long> ended = new TreeMap<>();

    private record Node(RunningProgram program, Closer closer, MetricRegistry metrics) {}

    private KvFaultsBenchmark(int count, int runners, int models) throws Exception {
        for (int i = 0; i < count; i++) {
            try (ServerSocket free = new ServerSocket(0)) {
                addresses.add("127.0.0.1:" + free.getLocalPort());
            }
        }
        String hosts = list(
                count,
                i -> "{\"host\": \"node-%d\", \"address\": \"%s\", %s}".formatted(i, addresses.get(i), place(i)));
        String weights = list(
                models,
                i -> "{\"model\": \"model-%d\", \"version\": \"1\", \"bytes\": 1000, \"memoryBytes\": 1000}"
                        .formatted(i));
        String engines = list(
                runners,
                i -> ("{\"name\": \"runner-%d\", \"firstPort\": 0, \"memoryBytes\": 8000, \"zones\":"
                                + " [\"%s\"], \"region\": \"%s\"}")
                        .formatted(i, zone(i), region(i)));
        standins = closer.add(Standins.start(SettingsReader.parse(
                "{\"kv\": {\"port\": 0}, \"hostList\": {\"port\": 0, \"entryHosts\": [" + hosts
                        + "]}, \"weightStore\": {\"port\": 0, \"bytesPerSecond\": 1000000, \"weights\": [" + weights
                        + "]}, \"engines\": [" + engines + "]}",
                "bench",
                StandinSettings.class)));
    }

    private interface Element {
        String of(int index);
    }

    private static String list(int count, Element element) {
        return IntStream.range(0, count).mapToObj(element::of).collect(Collectors.joining(",\n"));
    }

    private static String zone(int index) {
        return "zone-" + index % ZONES;
    }

    private static String region(int index) {
        return "region-" + index % ZONES / ZONES_IN_REGION;
    }

    private static String place(int index) {
        return "\"zone\": \"%s\", \"region\": \"%s\"".formatted(zone(index), region(index));
    }

    /**
     * Runs all phases and prints a Markdown table.
     *
     * @param arguments coordinators, runners, models
     */
    public static void main(String[] arguments) throws Exception {
        int[] counts =
                java.util.Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
        KvFaultsBenchmark bench = new KvFaultsBenchmark(counts[0], counts[1], counts[2]);
        try {
            bench.run(counts[2]);
        } finally {
            bench.close();
        }
        System.exit(0);
    }

    private void run(int models) throws Exception {
        System.out.println("| phase | seconds | " + String.join(" | ", KINDS)
                + " | most reads in a second | most writes in a second |");
        System.out.println("| --- |" + " --- |".repeat(KINDS.size() + 3));
        phase("start of everything at once", START_S, () -> startWhere(i -> true));
        phase("first configuration: slots are spread", SPREAD_S, () -> commit(models));
        phase("calm", PHASE_S, () -> {});
        phase("one host dies", PHASE_S, () -> endWhere(i -> i == 1));
        phase("it returns", PHASE_S, () -> startWhere(i -> i == 1));
        phase("all hosts of a zone die", PHASE_S, () -> endWhere(i -> i % ZONES == 0));
        phase("they return", PHASE_S, () -> startWhere(i -> i % ZONES == 0));
        phase("all hosts of a region die", PHASE_S, () -> endWhere(KvFaultsBenchmark::isOfOneRegion));
        phase("they return", PHASE_S, () -> startWhere(KvFaultsBenchmark::isOfOneRegion));
        phase("key-value service down: calls tried", OUTAGE_S, () -> fault("POST", "{\"fault\": \"down\"}"));
        phase("its return", PHASE_S, () -> fault("DELETE", ""));
    }

    private static boolean isOfOneRegion(int index) {
        return index % ZONES / ZONES_IN_REGION == 1;
    }

    private interface Change {
        void apply() throws Exception;
    }

    private void startWhere(IntPredicate which) throws Exception {
        try (ExecutorService starters = Executors.newVirtualThreadPerTaskExecutor()) {
            Map<Integer, Future<Node>> started = new TreeMap<>();
            IntStream.range(0, addresses.size())
                    .filter(which)
                    .forEach(i -> started.put(i, starters.submit(() -> start(i))));
            for (Map.Entry<Integer, Future<Node>> entry : started.entrySet()) {
                nodes.put(entry.getKey(), entry.getValue().get());
            }
        }
    }

    private Node start(int index) throws Exception {
        String text = """
            {"node": "node-%d", %s, "address": "%s", "kv": {"endpoint": "%s"}, "hostList": "%s", "weightStore": "%s"}
            """.formatted(
                        index,
                        place(index),
                        addresses.get(index),
                        standins.address(Standins.KV),
                        standins.address(Standins.HOST_LIST),
                        standins.address(Standins.WEIGHT_STORE));
        Closer own = Closer.create();
        MetricRegistry metrics = new MetricRegistry();
        Tracing tracing = own.add(Tracing.of("bench"));
        ProgramContext context = new ProgramContext(metrics, Readiness.starting(), tracing, own);
        CoordinatorSettings settings = SettingsReader.parse(text, "bench", CoordinatorSettings.class);
        return new Node(new CoordinatorProgram().start(settings, context), own, metrics);
    }

    /** Ends nodes as if their processes were killed: no farewell, no hand-over. */
    private void endWhere(IntPredicate which) {
        for (int i = 0; i < addresses.size(); i++) {
            if (which.test(i)) {
                Node node = nodes.remove(i);
                node.program().close();
                node.closer().close();
                KINDS.forEach(kind -> ended.merge(kind, count(node, kind), Long::sum));
            }
        }
    }

    private static long count(Node node, String kind) {
        Counter counter = node.metrics().counter("kv.calls." + kind);
        return counter.getCount();
    }

    private void commit(int models) throws Exception {
        List<Deployment> deployments = IntStream.range(0, models)
                .mapToObj(i -> new Deployment(
                        "desk-" + i, "model-" + i, List.of("1"), List.of(), List.of("desk"), 5, CAP, 1, 30, 30_000))
                .toList();
        FleetConfiguration next = new FleetConfiguration(1, deployments, List.of(), List.of());
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            EtcdKvStore store = EtcdKvStore.create(
                    connector, standins.address(Standins.KV), KvOptions.defaults(), new MetricRegistry());
            ConfigurationStore.of(store, ConfigurationHeadCodec.create(), TimeSource.system())
                    .commit(0, ConfigurationCodec.encode(next), "bench", "bench");
        }
    }

    private void fault(String method, String body) throws Exception {
        URI uri = URI.create("http://" + standins.address(Standins.KV) + "/faults");
        http.send(
                HttpRequest.newBuilder(uri)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.discarding());
    }

    private Map<String, Long> totals() {
        Map<String, Long> totals = new TreeMap<>();
        for (String kind : KINDS) {
            long live =
                    nodes.values().stream().mapToLong(node -> count(node, kind)).sum();
            totals.put(kind, live + ended.getOrDefault(kind, 0L));
        }
        return totals;
    }

    private static long between(Map<String, Long> before, Map<String, Long> after, List<String> kinds) {
        return kinds.stream()
                .mapToLong(kind -> after.get(kind) - before.get(kind))
                .sum();
    }

    private void phase(String name, int seconds, Change change) throws Exception {
        Map<String, Long> first = totals();
        change.apply();
        Map<String, Long> last = first;
        long mostReads = 0;
        long mostWrites = 0;
        for (int i = 0; i < seconds; i++) {
            Thread.sleep(1_000);
            Map<String, Long> now = totals();
            mostReads = Math.max(mostReads, between(last, now, List.of("get", "list", "watch")));
            mostWrites = Math.max(mostWrites, between(last, now, List.of("put", "delete")));
            last = now;
        }
        Map<String, Long> end = last;
        String counts = KINDS.stream()
                .map(kind -> Long.toString(between(first, end, List.of(kind))))
                .collect(Collectors.joining(" | "));
        System.out.println(
                "| " + name + " | " + seconds + " | " + counts + " | " + mostReads + " | " + mostWrites + " |");
    }

    private void close() {
        endWhere(nodes::containsKey);
        closer.close();
    }
}
