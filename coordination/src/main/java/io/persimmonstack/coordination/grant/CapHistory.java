package io.persimmonstack.coordination.grant;

import java.util.HashMap;
import java.util.Map;

/**
 * Caps of the configuration in force, and since which version each is known not to have changed. A process that missed
 * versions in between does not know what they said, so it counts from the version that it took next.
 */
public final class CapHistory implements ReplicaCaps {
    private volatile History history = new History(0, 0, Map.of());

    /** Cap of one model, and the first version of those in a row that say so. */
    private record CapSince(int replicas, long version) {}

    /** Versions taken one after the other, up to the one in force. */
    private record History(long firstVersion, long version, Map<String, CapSince> caps) {
        CapSince capSince(String model) {
            return caps.getOrDefault(model, new CapSince(0, firstVersion));
        }
    }

    private CapHistory() {}

    /** Returns the history of a process that knows no configuration yet. */
    public static CapHistory create() {
        return new CapHistory();
    }

    /**
     * Takes a configuration that came into force.
     *
     * @param version its version, higher than those taken before
     * @param replicas caps by model
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
