package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/**
 * Stand-in of a sound runner that does not check fences. It holds models and adapters of the first of them, or none, and
 * loads a further model in the time that the manifest tells.
 */
final class Runner {
    static final int ADAPTER_PLACES = 4;
    private static final int EVENTS = 3;

    /** An order that arrived. */
    record Order(long ms, String holder, long fence, String text, int status) {}

    final String id;
    private final String service;
    private final String model;
    private final long loadMs;
    private final long workMs;
    private final TreeSet<String> loaded = new TreeSet<>();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile HttpServer server;
    private volatile long born = System.currentTimeMillis() - 1_000;
    /** Part of a prompt that ends this process when an answer on it begins, empty if there is none. */
    volatile String fatalPart = "";
    /** What happens when the process has ended. */
    volatile Runnable onEnd = () -> {};
    private final TreeSet<String> adapters = new TreeSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final List<Order> orders = new ArrayList<>();
    private final List<Long> fatalArrivals = new ArrayList<>();
    private long sequence;
    private long busyUntilMs = -1;

    Runner(String id, String service, String model) throws IOException {
        this(id, service, model, 6_000, 20);
    }

    /**
     * Starts a runner.
     *
     * @param id identifier
     * @param service service that it belongs to
     * @param model model that it holds, empty if it is no model runner
     * @param loadMs time that the load of another model takes
     * @param workMs time until an answer begins
     */
    Runner(String id, String service, String model, long loadMs, long workMs) throws IOException {
        this.loadMs = loadMs;
        this.workMs = workMs;
        this.id = id;
        this.service = service;
        this.model = model;
        server = listen(0);
        port = server.getAddress().getPort();
    }

    private HttpServer listen(int wanted) throws IOException {
        HttpServer listening = HttpServer.create(new InetSocketAddress("127.0.0.1", wanted), 0);
        listening.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        listening.createContext("/", this::handle);
        listening.start();
        return listening;
    }

    /** Ends the process: its port and all its channels are closed. */
    synchronized boolean end(HttpServer of) {
        if (server != of) {
            return false;
        }
        server = null;
        Thread.ofVirtual().start(() -> of.stop(0));
        return true;
    }

    /** Starts again under the same identifier, with a new time of birth. */
    void startAgain() throws IOException {
        born = System.currentTimeMillis();
        server = listen(port);
    }

    synchronized String entry() {
        return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":12,"
                        .formatted(service, port)
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"born\":" + born + ",\"models\":"
                + models() + ",\"sequence_no\":" + sequence + "}";
    }

    private String models() {
        List<String> held = new ArrayList<>();
        if (!model.isEmpty()) {
            held.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":["
                    + adapters.stream().map(name -> "\"" + name + "\"").collect(Collectors.joining(",")) + "]}");
        }
        if (!busy()) {
            loaded.forEach(name -> held.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}"));
        }
        return "[" + String.join(",", held) + "]";
    }

    private boolean busy() {
        return Clock.ms() < busyUntilMs;
    }

    /** Returns whether a request began to run here. */
    boolean hasRun(String request) {
        return ran.contains(request);
    }

    synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Returns when requests with the part that ends processes arrived. */
    synchronized List<Long> fatalArrivals() {
        return List.copyOf(fatalArrivals);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
        String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (request != null) {
            exchange.getResponseHeaders().set("X-Request-Id", request);
        }
        String path = exchange.getRequestURI().getPath();
        if (target != null && !target.equals(id)) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            send(exchange, 421, "");
        } else if (path.equals("/report")) {
            send(exchange, 200, report());
        } else if (path.equals("/order")) {
            send(exchange, order(Store.JSON.readTree(body)), "");
        } else {
            serve(exchange, request);
        }
    }

    private synchronized String report() {
        return "{\"stage\":\"colocated\",\"models\":" + models() + ",\"busy\":" + busy() + ",\"sequence_no\":" + sequence
                + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":48976,\"handles\":0,\"born\":" + born + "}";
    }

    private synchronized int order(JsonNode order) {
        int status = carryOut(order);
        orders.add(new Order(
                Clock.ms(), order.path("holder").asText(), order.path("fencing_token").asLong(), order.toString(), status));
        Record.write("runner " + id + " gets order " + order + " and answers " + status);
        return status;
    }

    private int carryOut(JsonNode order) {
        String adapter = order.path("adapter").asText("");
        if (order.path("expected").asLong() != sequence || busy()) {
            return 409;
        }
        String name = order.path("model").asText();
        if (adapter.isEmpty()) {
            if (!order.path("operation").asText().equals("load")) {
                return 409;
            }
            if (name.equals(model) || !loaded.add(name)) {
                return 200;
            }
            sequence++;
            busyUntilMs = Clock.ms() + loadMs;
            return 202;
        }
        if (order.path("operation").asText().equals("load")) {
            if (adapters.contains(adapter)) {
                return 200;
            }
            if (adapters.size() == ADAPTER_PLACES) {
                Record.write("runner " + id + " has no place for " + adapter);
                return 409;
            }
            adapters.add(adapter);
            sequence++;
            return 202;
        }
        if (running.getOrDefault(adapter, 0) > 0) {
            return 409;
        }
        adapters.remove(adapter);
        sequence++;
        return 200;
    }

    private void serve(HttpExchange exchange, String request) throws IOException {
        String wanted = exchange.getRequestHeaders().getFirst("X-Model");
        String adapter = wanted == null || !wanted.contains("/") ? "" : wanted.substring(wanted.indexOf('/') + 1);
        synchronized (this) {
            boolean absent = wanted != null && adapter.isEmpty() && !wanted.equals(model)
                    && (!loaded.contains(wanted) || busy());
            if (absent || !adapter.isEmpty() && !adapters.contains(adapter)) {
                adapter = null;
            } else {
                running.merge(adapter, 1, Integer::sum);
            }
        }
        if (adapter == null) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            send(exchange, 421, "");
            return;
        }
        ran.add(String.valueOf(request));
        if (isFatal(exchange)) {
            synchronized (this) {
                fatalArrivals.add(Clock.ms());
            }
            Record.write("runner " + id + " gets request " + request + " with the part");
        }
        try {
            Clock.sleep(workMs);
            if (isFatal(exchange)) {
                HttpServer mine = server;
                if (mine != null && mine.equals(exchange.getHttpContext().getServer()) && end(mine)) {
                    onEnd.run();
                }
                return;
            }
            exchange.getResponseHeaders().set("X-Server-Seal", "seal." + id + "." + request);
            if (wanted == null) {
                send(exchange, 200, "answer to " + request);
                return;
            }
            exchange.sendResponseHeaders(200, 0);
            for (int event = 1; event <= EVENTS; event++) {
                exchange.getResponseBody().write(("id: " + event + "\ndata: text\n\n").getBytes());
                exchange.getResponseBody().flush();
                Clock.sleep(5);
            }
            exchange.close();
        } finally {
            synchronized (this) {
                running.merge(adapter, -1, Integer::sum);
            }
        }
    }

    private boolean isFatal(HttpExchange exchange) {
        String prompt = exchange.getRequestHeaders().getFirst("X-Prompt-Prefix");
        int last = prompt == null ? -1 : prompt.lastIndexOf(',');
        return !fatalPart.isEmpty() && last >= 0 && ("," + prompt.substring(0, last)).contains("," + fatalPart + ":");
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes();
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    void close() {
        HttpServer mine = server;
        if (mine != null) {
            mine.stop(0);
        }
    }
}
