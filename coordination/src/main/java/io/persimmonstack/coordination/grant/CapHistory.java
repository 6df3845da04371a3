package io.persimmonstack.coordination.grant;

import java.util.HashMap;
import java.util.Map;

/**
 * Caps of the active configuration, each with the version since which it is known not to have changed. A process that
 * missed versions does not know their caps, so it counts from the first version that it applied after the gap.
 *
 * <p>Thread-safe.
 */
public final class CapHistory implements ReplicaCaps {
    private volatile History history = new History(0, 0, Map.of());

    /** Cap of one model, and the first of the consecutive versions with this cap. */
    private record CapSince(int replicas, long version) {}

    /** Caps after a run of consecutive versions, from the first of the run to the active one. */
    private record History(long firstVersion, long version, Map<String, CapSince> caps) {
        CapSince capSince(String model) {
            return caps.getOrDefault(model, new CapSince(0, firstVersion));
        }
    }

    private CapHistory() {}

    /** Returns the history of a process that has not applied any configuration yet. */
    public static CapHistory create() {
        return new CapHistory();
    }

    /**
     * Applies a configuration that has become active.
     *
     * @param version version of the configuration, higher than any version applied before
     * @param replicas replica caps by model
     */
    public synchronized void apply(long version, Map<String, Integer> replicas) {
        History before = history;
        boolean consecutive = version == before.version() + 1;
        Map<String, CapSince> caps = new HashMap<>();
        replicas.forEach((model, cap) -> caps.put(model, capSince(before, consecutive, model, cap, version)));
        if (consecutive) {
            before.caps().keySet().stream()
                    .filter(model -> !replicas.containsKey(model))
                    .forEach(model -> caps.put(model, capSince(before, true, model, 0, version)));
        }
        history = new History(consecutive ? before.firstVersion() : version, version, Map.copyOf(caps));
    }

    /** Keeps the earlier version of a cap that has not changed, provided that no version was missed in between. */
    private static CapSince capSince(History before, boolean consecutive, String model, int cap, long version) {
        CapSince previous = before.capSince(model);
        return consecutive && previous.replicas() == cap ? previous : new CapSince(cap, version);
    }

    @Override
    public ReplicaCap cap(String model) {
        History latest = history;
        return ReplicaCap.of(latest.capSince(model).replicas(), latest.version());
    }

    @Override
    public long unchangedSince(String model) {
        return history.capSince(model).version();
    }
}
