import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Manifest of a small installation: a plain service and a service with models. */
final class Manifest {
    static final String HOST = "desk.example";

    private Manifest() {}

    static Map<String, Object> route(
            String name, String prefix, String kind, int timeoutMs, int targetMs, String service, int attempts) {
        Map<String, Object> route = Json.object(
                "name", name, "host", HOST, "prefix", prefix, "kind", kind, "timeout_ms", timeoutMs,
                "target_latency_ms", targetMs, "priority", 1, "service", service, "max_attempts", attempts);
        if (kind.equals("stream")) {
            route.put("resumable", true);
            route.put("sticky", true);
            route.put("gap_target_ms", 200);
        }
        return route;
    }

    static String text(long version, int models, int room) {
        return text(version, models, room, List.of());
    }

    static String text(long version, int models, int room, List<Object> moreRoutes) {
        List<Object> modelList = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            modelList.add(Json.object("name", "m" + i, "weights_mb", 1000.0, "load_time_s", 0.5, "adapters", 0,
                    "adapter_mb", 40.0, "warm_s", 0.2, "disk_s", 0.2));
        }
        Map<String, Object> engine = Json.object(
                "slots", 32, "kv_capacity", 90000, "kv_token_bytes", 131072.0, "link_mbps", 550000.0, "stride", 7,
                "models", modelList, "weights_mb", 1000.0 * room + 500.0, "adapter_slots", 8, "load_rate_s", 6.5);
        List<Object> routes = new ArrayList<>(List.of(
                route("r-chat", "/chat/", "stream", 12_000, 500, "models", 2),
                route("r-pay", "/pay/", "unsafe", 1_500, 100, "desk", 1),
                route("r-read", "/read/", "safe", 1_500, 100, "desk", 2)));
        routes.addAll(moreRoutes);
        return Json.write(Json.object(
                "version", version,
                "routes", routes,
                "services", List.of(
                        Json.object("name", "models", "health_path", "/health", "max_connections", 290,
                                "protocol", "h1", "tls", false, "engine", engine),
                        Json.object("name", "desk", "health_path", "/health", "max_connections", 96,
                                "protocol", "h1", "tls", false)),
                "limits", Json.object("max_header_bytes", 16_384, "max_body_bytes", 4_194_304,
                        "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000)));
    }
}
