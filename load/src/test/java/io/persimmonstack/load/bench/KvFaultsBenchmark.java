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

/**
 * Counts, by kind, the calls that coordinators in this process make to the key-value service, at rest and in faults.
 */
public final class KvFaultsBenchmark {
    private static final List<String> CALL_KINDS = List.of("get", "list", "put", "delete", "watch");
    private static final int ZONES = 9;
    private static final int ZONES_PER_REGION = 3;
    private static final int REPLICA_CAP = 3;
    private static final int STARTUP_SECONDS = 45;
    private static final int SLOT_ASSIGNMENT_SECONDS = 60;
    private static final int PHASE_SECONDS = 30;
    private static final int OUTAGE_SECONDS = 60;
    private final Closer closer = Closer.create();
    private final HttpClient http = closer.add(HttpClient.newHttpClient());
    private final Standins standins;
    private final List<String> addresses = new ArrayList<>();
    private final Map<Integer, Node> runningNodes = new TreeMap<>();
    private final Map<String, Long> callsOfStoppedNodes = new TreeMap<>();

    private record Node(RunningProgram program, Closer closer, MetricRegistry metrics) {}

    private KvFaultsBenchmark(int nodeCount, int runners, int models) throws Exception {
        for (int i = 0; i < nodeCount; i++) {
            try (ServerSocket free = new ServerSocket(0)) {
                addresses.add("127.0.0.1:" + free.getLocalPort());
            }
        }
        String hosts = joinElements(
                nodeCount,
                i -> "{\"host\": \"node-%d\", \"address\": \"%s\", %s}".formatted(i, addresses.get(i), location(i)));
        String weights = joinElements(
                models,
                i -> "{\"model\": \"model-%d\", \"version\": \"1\", \"bytes\": 1000, \"memoryBytes\": 1000}"
                        .formatted(i));
        String engines = joinElements(
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

    private interface ElementText {
        String of(int index);
    }

    /** Returns the elements of a JSON array, without its brackets. */
    private static String joinElements(int size, ElementText element) {
        return IntStream.range(0, size).mapToObj(element::of).collect(Collectors.joining(",\n"));
    }

    private static String zone(int index) {
        return "zone-" + index % ZONES;
    }

    private static String region(int index) {
        return "region-" + index % ZONES / ZONES_PER_REGION;
    }

    /** Returns the zone and region of a host as members of a JSON object. */
    private static String location(int index) {
        return "\"zone\": \"%s\", \"region\": \"%s\"".formatted(zone(index), region(index));
    }

    /**
     * Runs all phases and prints a Markdown table.
     *
     * @param arguments number of coordinators, of runners and of models
     */
    public static void main(String[] arguments) throws Exception {
        int[] sizes =
                java.util.Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
        KvFaultsBenchmark benchmark = new KvFaultsBenchmark(sizes[0], sizes[1], sizes[2]);
        try {
            benchmark.run(sizes[2]);
        } finally {
            benchmark.close();
        }
        System.exit(0);
    }

    private void run(int models) throws Exception {
        System.out.println("| phase | seconds | " + String.join(" | ", CALL_KINDS)
                + " | peak reads in a second | peak writes in a second |");
        System.out.println("| --- |" + " --- |".repeat(CALL_KINDS.size() + 3));
        runPhase("all hosts start at once", STARTUP_SECONDS, () -> startNodes(i -> true));
        runPhase(
                "first configuration: slots are assigned",
                SLOT_ASSIGNMENT_SECONDS,
                () -> commitFirstConfiguration(models));
        runPhase("calm", PHASE_SECONDS, () -> {});
        runPhase("one host dies", PHASE_SECONDS, () -> killNodes(i -> i == 1));
        runPhase("this host returns", PHASE_SECONDS, () -> startNodes(i -> i == 1));
        runPhase("all hosts of a zone die", PHASE_SECONDS, () -> killNodes(i -> i % ZONES == 0));
        runPhase("they return", PHASE_SECONDS, () -> startNodes(i -> i % ZONES == 0));
        runPhase("all hosts of a region die", PHASE_SECONDS, () -> killNodes(KvFaultsBenchmark::isInFaultedRegion));
        runPhase("they return", PHASE_SECONDS, () -> startNodes(KvFaultsBenchmark::isInFaultedRegion));
        runPhase(
                "key-value service down: calls attempted",
                OUTAGE_SECONDS,
                () -> changeFaults("POST", "{\"fault\": \"down\"}"));
        runPhase("key-value service returns", PHASE_SECONDS, () -> changeFaults("DELETE", ""));
    }

    private static boolean isInFaultedRegion(int index) {
        return index % ZONES / ZONES_PER_REGION == 1;
    }

    private interface PhaseAction {
        void apply() throws Exception;
    }

    private void startNodes(IntPredicate selection) throws Exception {
        try (ExecutorService starters = Executors.newVirtualThreadPerTaskExecutor()) {
            Map<Integer, Future<Node>> started = new TreeMap<>();
            IntStream.range(0, addresses.size())
                    .filter(selection)
                    .forEach(i -> started.put(i, starters.submit(() -> start(i))));
            for (Map.Entry<Integer, Future<Node>> entry : started.entrySet()) {
                runningNodes.put(entry.getKey(), entry.getValue().get());
            }
        }
    }

    private Node start(int index) throws Exception {
        String text = """
            {"node": "node-%d", %s, "address": "%s", "kv": {"endpoint": "%s"}, "hostList": "%s", "weightStore": "%s"}
            """.formatted(
                        index,
                        location(index),
                        addresses.get(index),
                        standins.address(Standins.KV),
                        standins.address(Standins.HOST_LIST),
                        standins.address(Standins.WEIGHT_STORE));
        Closer nodeCloser = Closer.create();
        MetricRegistry metrics = new MetricRegistry();
        Tracing tracing = nodeCloser.add(Tracing.of("bench"));
        ProgramContext context = new ProgramContext(metrics, Readiness.starting(), tracing, nodeCloser);
        CoordinatorSettings settings = SettingsReader.parse(text, "bench", CoordinatorSettings.class);
        return new Node(new CoordinatorProgram().start(settings, context), nodeCloser, metrics);
    }

    /** Stops nodes as if their processes were killed: they announce no departure and hand over no runners. */
    private void killNodes(IntPredicate selection) {
        for (int i = 0; i < addresses.size(); i++) {
            if (selection.test(i)) {
                Node node = runningNodes.remove(i);
                node.program().close();
                node.closer().close();
                CALL_KINDS.forEach(kind -> callsOfStoppedNodes.merge(kind, callCount(node, kind), Long::sum));
            }
        }
    }

    private static long callCount(Node node, String kind) {
        Counter counter = node.metrics().counter("kv.calls." + kind);
        return counter.getCount();
    }

    private void commitFirstConfiguration(int models) throws Exception {
        List<Deployment> deployments = IntStream.range(0, models)
                .mapToObj(i -> new Deployment(
                        "desk-" + i,
                        "model-" + i,
                        List.of("1"),
                        List.of(),
                        List.of("desk"),
                        5,
                        REPLICA_CAP,
                        1,
                        30,
                        30_000))
                .toList();
        FleetConfiguration next = new FleetConfiguration(1, deployments, List.of(), List.of());
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            EtcdKvStore store = EtcdKvStore.create(
                    connector, standins.address(Standins.KV), KvOptions.defaults(), new MetricRegistry());
            ConfigurationStore.of(store, ConfigurationHeadCodec.create(), TimeSource.system())
                    .commit(0, ConfigurationCodec.encode(next), "bench", "bench");
        }
    }

    private void changeFaults(String method, String body) throws Exception {
        URI uri = URI.create("http://" + standins.address(Standins.KV) + "/faults");
        http.send(
                HttpRequest.newBuilder(uri)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.discarding());
    }

    /** Returns the calls by kind since the start, of running and stopped nodes. */
    private Map<String, Long> totalCalls() {
        Map<String, Long> calls = new TreeMap<>();
        for (String kind : CALL_KINDS) {
            long live = runningNodes.values().stream()
                    .mapToLong(node -> callCount(node, kind))
                    .sum();
            calls.put(kind, live + callsOfStoppedNodes.getOrDefault(kind, 0L));
        }
        return calls;
    }

    private static long callsBetween(Map<String, Long> earlier, Map<String, Long> later, List<String> kinds) {
        return kinds.stream()
                .mapToLong(kind -> later.get(kind) - earlier.get(kind))
                .sum();
    }

    /** Applies the action, counts the calls of the following seconds and prints one row. */
    private void runPhase(String name, int seconds, PhaseAction action) throws Exception {
        Map<String, Long> before = totalCalls();
        action.apply();
        Map<String, Long> previous = before;
        long peakReads = 0;
        long peakWrites = 0;
        for (int i = 0; i < seconds; i++) {
            Thread.sleep(1_000);
            Map<String, Long> now = totalCalls();
            peakReads = Math.max(peakReads, callsBetween(previous, now, List.of("get", "list", "watch")));
            peakWrites = Math.max(peakWrites, callsBetween(previous, now, List.of("put", "delete")));
            previous = now;
        }
        Map<String, Long> after = previous;
        String callCounts = CALL_KINDS.stream()
                .map(kind -> Long.toString(callsBetween(before, after, List.of(kind))))
                .collect(Collectors.joining(" | "));
        System.out.println(
                "| " + name + " | " + seconds + " | " + callCounts + " | " + peakReads + " | " + peakWrites + " |");
    }

    private void close() {
        killNodes(runningNodes::containsKey);
        closer.close();
    }
}
