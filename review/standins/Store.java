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

/**
 * Stand-in of the platform's store: items with revisions, watches, transactions and leases. In a drill it is away for a
 * moment and comes back from an earlier copy; the era in its answers then rises by one.
 */
final class Store implements AutoCloseable {
    record Item(String key, String value, long revision, long created, long lease) {}

    record Event(long revision, String key, Item item) {}

    record Lease(long id, long ttlMs, long untilNanos) {}

    /** State at one moment. */
    record Copy(
            long takenNanos,
            long revision,
            long lastLease,
            TreeMap<String, Item> items,
            Map<Long, Lease> leases,
            List<Event> events) {}

    private static final int MAX_COPIES = 200;

    private final HttpServer server;
    private final Record record;
    private TreeMap<String, Item> items = new TreeMap<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private List<Event> events = new ArrayList<>();
    private long revision = 100;
    private long lastLease = 7_000;
    private int era = 1;
    /** State before each of the last changes, the oldest first. */
    private final java.util.ArrayDeque<Copy> earlier = new java.util.ArrayDeque<>();
    private volatile boolean away;
    private volatile boolean closed;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized long revision() {
        return revision;
    }

    /** Writes as the operator or a runner does. */
    synchronized long write(String key, String value) {
        if (away) {
            return -1;
        }
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        put(key, encoded, 0);
        return revision;
    }

    synchronized void remove(String key) {
        if (!away) {
            delete(key);
        }
    }

    synchronized String item(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.ISO_8859_1);
    }

    synchronized long itemRevision(String key) {
        Item item = items.get(key);
        return item == null ? 0 : item.revision();
    }

    synchronized Copy copy() {
        return new Copy(
                System.nanoTime(),
                revision,
                lastLease,
                new TreeMap<>(items),
                new HashMap<>(leases),
                new ArrayList<>(events));
    }

    /** No call is answered; channels are closed. Leases pause. */
    void goAway() {
        synchronized (this) {
            away = true;
            notifyAll();
        }
        record.line("store is away at revision %d", revision);
    }

    /** Comes back from a copy; its leases have the time left that they had when it was taken. */
    synchronized void comeBack(Copy copy) {
        record.line("store comes back at revision %d (was %d), copy %.1f s old", copy.revision(), revision,
                (System.nanoTime() - copy.takenNanos()) / 1e9);
        revision = copy.revision();
        lastLease = copy.lastLease();
        items = new TreeMap<>(copy.items());
        events = new ArrayList<>(copy.events());
        earlier.clear();
        leases = new HashMap<>();
        long pauseNanos = System.nanoTime() - copy.takenNanos();
        copy.leases().values().forEach(lease ->
                leases.put(lease.id(), new Lease(lease.id(), lease.ttlMs(), lease.untilNanos() + pauseNanos)));
        era++;
        away = false;
    }

    /** Returns the copies of the states before the changes since a time, the oldest first. */
    synchronized List<Copy> copiesSince(long nanos) {
        return earlier.stream().filter(copy -> copy.takenNanos() - nanos >= 0).toList();
    }

    private void keepCopy() {
        earlier.addLast(copy());
        while (earlier.size() > MAX_COPIES) {
            earlier.removeFirst();
        }
    }

    private void put(String key, String value, long lease) {
        keepCopy();
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        events.add(new Event(revision, key, item));
        notifyAll();
    }

    private void delete(String key) {
        if (!items.containsKey(key)) {
            return;
        }
        keepCopy();
        if (items.remove(key) != null) {
            events.add(new Event(++revision, key, null));
            notifyAll();
        }
    }

    private void expireLeases() {
        while (!closed) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (!away) {
                    leases.values().stream()
                            .filter(lease -> System.nanoTime() - lease.untilNanos() > 0)
                            .map(Lease::id)
                            .toList()
                            .forEach(this::endLease);
                }
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == id)
                .map(Item::key)
                .toList();
        keys.forEach(this::delete);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (away) {
            // Closes the channel without an answer.
            exchange.close();
            return;
        }
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String path = exchange.getRequestURI().getPath();
        String text = new String(body, StandardCharsets.UTF_8);
        switch (path) {
            case "/kv-key" -> get(exchange, query);
            case "/kv-range" -> range(exchange, query);
            case "/kv-watch" -> watch(exchange, query);
            case "/kv-txn" -> transact(exchange, Json.parse(text));
            case "/kv-lease" -> grant(exchange, Json.number(Json.parse(text), "ttl_ms", 4_000));
            default -> lease(exchange, path);
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static Map<String, Object> json(Item item) {
        return Json.object(
                "key", item.key(),
                "value", item.value(),
                "revision", item.revision(),
                "created_rev", item.created(),
                "lease", item.lease());
    }

    private void get(HttpExchange exchange, Map<String, String> query) throws IOException {
        Map<String, Object> answer;
        int status = 200;
        synchronized (this) {
            Item item = items.get(query.get("key"));
            status = item == null ? 404 : 200;
            answer = item == null ? Json.object() : json(item);
            answer.put("store_revision", revision);
        }
        send(exchange, status, answer);
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            items.values().stream()
                    .filter(item -> item.key().startsWith(query.get("prefix")))
                    .forEach(item -> found.add(json(item)));
            answer = Json.object("items", found, "has_more", false, "store_revision", revision);
        }
        send(exchange, 200, answer);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.get("after"));
        long deadlineNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        int eraBefore;
        Map<String, Object> answer;
        synchronized (this) {
            eraBefore = era;
            if (after > revision) {
                answer = null;
            } else {
                answer = changes(query.get("prefix"), after);
                while (((List<?>) answer.get("events")).isEmpty() && System.nanoTime() < deadlineNanos && !away) {
                    try {
                        wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    answer = changes(query.get("prefix"), after);
                }
            }
            if (away || era != eraBefore) {
                exchange.close();
                return;
            }
        }
        send(exchange, answer == null ? 410 : 200, answer == null ? Json.object() : answer);
    }

    private Map<String, Object> changes(String prefix, long after) {
        List<Object> found = new ArrayList<>();
        for (Event event : events) {
            if (event.revision() > after && event.key().startsWith(prefix)) {
                found.add(event.item() == null
                        ? Json.object("key", event.key(), "revision", event.revision(), "tombstone", true)
                        : json(event.item()));
            }
        }
        return Json.object("events", found, "store_revision", revision);
    }

    private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
        int status = 200;
        Map<String, Object> answer = Json.object();
        synchronized (this) {
            boolean holds = true;
            List<Object> current = new ArrayList<>();
            for (Map<String, Object> expected : Json.objects(body, "expected")) {
                String key = (String) expected.get("key");
                Item item = items.get(key);
                holds &= (item == null ? 0 : item.revision()) == Json.number(expected, "revision", 0);
                current.add(item == null ? Json.object("key", key, "revision", 0) : json(item));
            }
            boolean leased = Json.objects(body, "puts").stream()
                    .map(put -> Json.number(put, "lease", 0))
                    .allMatch(id -> id == 0 || leases.containsKey(id));
            if (away) {
                exchange.close();
                return;
            }
            if (!holds) {
                status = 412;
                answer.put("items", current);
            } else if (!leased) {
                status = 404;
            } else {
                Json.objects(body, "puts").forEach(put ->
                        put((String) put.get("key"), (String) put.get("value"), Json.number(put, "lease", 0)));
                for (Object key : (List<?>) body.getOrDefault("remove", List.of())) {
                    delete((String) key);
                }
                answer.put("revision", revision);
            }
        }
        send(exchange, status, answer);
    }

    private void grant(HttpExchange exchange, long ttlMs) throws IOException {
        long id;
        synchronized (this) {
            id = ++lastLease;
            leases.put(id, new Lease(id, ttlMs, System.nanoTime() + ttlMs * 1_000_000));
        }
        send(exchange, 200, Json.object("lease", id, "ttl_ms", ttlMs));
    }

    private void lease(HttpExchange exchange, String path) throws IOException {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        boolean found;
        synchronized (this) {
            Lease lease = leases.get(id);
            found = lease != null;
            if (found && path.startsWith("/kv-lease-end/")) {
                endLease(id);
            } else if (found) {
                leases.put(id, new Lease(id, lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000));
            }
        }
        send(exchange, found ? 200 : 404, Json.object());
    }

    private void send(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", Integer.toString(era));
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        closed = true;
        server.stop(0);
    }
}
