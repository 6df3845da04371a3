package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store. Each node gets a port of its own, so that the store can turn single nodes away. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int SILENCE_MS = 30_000;

    /** How the store treats the calls that come in at one port. */
    enum Gate {
        OPEN,
        /** Answers 503: nothing was done. */
        BUSY,
        /** Does not answer, and does nothing. */
        SILENT
    }

    private record Lease(long ttlMs, long renewedNanos) {}

    /** The state at one moment. */
    record Copy(
            long takenNanos,
            long revision,
            long lastLease,
            Map<String, ObjectNode> items,
            Map<Long, Lease> leases,
            int events) {}

    private final Map<Integer, Gate> gates = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1_000;
    private long era;

    Store() {
        Thread.ofVirtual().start(() -> {
            while (true) {
                Clock.sleep(20);
                expire();
            }
        });
    }

    /** Opens a port for one node and returns it. */
    int listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        int port = server.getAddress().getPort();
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> handle(port, exchange));
        server.start();
        synchronized (this) {
            gates.put(port, Gate.OPEN);
            servers.add(server);
        }
        return port;
    }

    synchronized void gate(int port, Gate gate) {
        gates.put(port, gate);
    }

    private synchronized Gate gate(int port) {
        return gates.get(port);
    }

    /** Writes a value without a lease, as the operator and the runners do. */
    synchronized void write(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            events.add(JSON.createObjectNode().put("key", key).put("revision", ++revision).put("tombstone", true));
            notifyAll();
        }
    }

    /** Returns the value of a key as text, empty if there is none. */
    synchronized String value(String key) {
        ObjectNode item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.path("value").asText()));
    }

    synchronized long revisionOf(String key) {
        ObjectNode item = items.get(key);
        return item == null ? 0 : item.path("revision").asLong();
    }

    synchronized List<String> keys() {
        return List.copyOf(items.keySet());
    }

    synchronized Copy copy() {
        return new Copy(
                System.nanoTime(), revision, lastLease, new TreeMap<>(items), new HashMap<>(leases), events.size());
    }

    /** Comes back from a copy; the leases of the copy have as much time left as they had then. */
    synchronized void restore(Copy copy) {
        revision = copy.revision();
        lastLease = copy.lastLease();
        items.clear();
        items.putAll(copy.items());
        leases.clear();
        long awayNanos = System.nanoTime() - copy.takenNanos();
        copy.leases().forEach((id, lease) ->
                leases.put(id, new Lease(lease.ttlMs(), lease.renewedNanos() + awayNanos)));
        events.subList(Math.min(copy.events(), events.size()), events.size()).clear();
        era++;
        notifyAll();
    }

    private synchronized void expire() {
        List<Long> ended = leases.entrySet().stream()
                .filter(e -> System.nanoTime() - e.getValue().renewedNanos() > e.getValue().ttlMs() * 1_000_000)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        items.entrySet().stream()
                .filter(e -> e.getValue().path("lease").asLong() == id)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
    }

    private void handle(int port, HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (refused(port, exchange)) {
                return;
            }
            Clock.sleep(4);
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange);
            switch (path) {
                case "/kv-key" -> get(port, exchange, query);
                case "/kv-range" -> range(port, exchange, query);
                case "/kv-watch" -> watch(port, exchange, query);
                case "/kv-txn" -> transaction(port, exchange, JSON.readTree(body));
                case "/kv-lease" -> grant(port, exchange, JSON.readTree(body).path("ttl_ms").asLong());
                default -> lease(port, exchange, path);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean refused(int port, HttpExchange exchange) throws IOException {
        if (gate(port) == Gate.BUSY) {
            send(port, exchange, 503, JSON.createObjectNode());
            return true;
        }
        if (gate(port) == Gate.SILENT) {
            silence(exchange);
            return true;
        }
        return false;
    }

    /** Holds a call whose answer never comes, on a channel that stays silent. */
    private static void silence(HttpExchange exchange) {
        Clock.sleep(SILENCE_MS);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : (text == null ? "" : text).split("&")) {
            int at = pair.indexOf('=');
            if (at > 0) {
                values.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private void get(int port, HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode answer;
        synchronized (this) {
            ObjectNode item = items.get(query.get("key"));
            answer = item == null ? null : item.deepCopy().put("store_revision", revision);
        }
        send(port, exchange, answer == null ? 404 : 200, answer == null ? JSON.createObjectNode() : answer);
    }

    private void range(int port, HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            ArrayNode list = answer.putArray("items");
            boolean more = false;
            long bytes = 0;
            for (Map.Entry<String, ObjectNode> entry : items.entrySet()) {
                if (entry.getKey().startsWith(query.getOrDefault("prefix", ""))
                        && entry.getKey().compareTo(query.getOrDefault("after", "")) > 0) {
                    if (list.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                        more = true;
                        break;
                    }
                    bytes += entry.getValue().path("value").asText().length();
                    list.add(entry.getValue());
                }
            }
            answer.put("has_more", more).put("store_revision", revision);
        }
        send(port, exchange, 200, answer);
    }

    private void watch(int port, HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        long after = Long.parseLong(query.get("after"));
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode list = answer.putArray("events");
        int status = 200;
        synchronized (this) {
            long eraBefore = era;
            while (true) {
                if (after > revision || era != eraBefore) {
                    status = 410;
                    break;
                }
                for (ObjectNode event : events) {
                    if (event.path("revision").asLong() > after
                            && event.path("key").asText().startsWith(query.getOrDefault("prefix", ""))) {
                        list.add(event);
                    }
                }
                long leftMs = (deadline - System.nanoTime()) / 1_000_000;
                if (!list.isEmpty() || leftMs <= 0) {
                    break;
                }
                wait(leftMs);
            }
            answer.put("store_revision", revision);
        }
        if (gate(port) == Gate.SILENT) {
            silence(exchange);
            return;
        }
        send(port, exchange, status, status == 200 ? answer : JSON.createObjectNode());
    }

    private void transaction(int port, HttpExchange exchange, JsonNode body) throws IOException {
        ObjectNode answer = JSON.createObjectNode();
        int status = 200;
        synchronized (this) {
            ArrayNode current = JSON.createArrayNode();
            for (JsonNode expected : body.path("expected")) {
                String key = expected.path("key").asText();
                ObjectNode item = items.get(key);
                if (revisionOf(key) != expected.path("revision").asLong()) {
                    status = 412;
                }
                current.add(item == null ? JSON.createObjectNode().put("key", key).put("revision", 0) : item);
            }
            for (JsonNode put : body.path("puts")) {
                long lease = put.path("lease").asLong();
                if (status == 200 && lease != 0 && !leases.containsKey(lease)) {
                    status = 404;
                }
            }
            if (status == 412) {
                answer.set("items", current);
            } else if (status == 200) {
                body.path("puts").forEach(put ->
                        put(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong()));
                body.path("remove").forEach(key -> remove(key.asText()));
                answer.put("revision", revision);
            }
        }
        send(port, exchange, status, answer);
    }

    private void put(String key, String value, long lease) {
        ObjectNode before = items.get(key);
        ObjectNode item = JSON.createObjectNode().put("key", key).put("value", value).put("revision", ++revision);
        item.put("created_rev", before == null ? revision : before.path("created_rev").asLong()).put("lease", lease);
        items.put(key, item);
        events.add(item);
        notifyAll();
    }

    private void grant(int port, HttpExchange exchange, long ttlMs) throws IOException {
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            leases.put(++lastLease, new Lease(ttlMs, System.nanoTime()));
            answer.put("lease", lastLease).put("ttl_ms", ttlMs);
        }
        send(port, exchange, 200, answer);
    }

    private void lease(int port, HttpExchange exchange, String path) throws IOException {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        ObjectNode answer = JSON.createObjectNode();
        boolean known;
        synchronized (this) {
            Lease lease = leases.get(id);
            known = lease != null;
            if (known && path.startsWith("/kv-lease-end/")) {
                endLease(id);
            } else if (known) {
                leases.put(id, new Lease(lease.ttlMs(), System.nanoTime()));
                answer.put("ttl_ms", lease.ttlMs());
            }
        }
        send(port, exchange, known ? 200 : 404, answer);
    }

    private void send(int port, HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        synchronized (this) {
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    void close() {
        servers.forEach(server -> server.stop(0));
    }
}
