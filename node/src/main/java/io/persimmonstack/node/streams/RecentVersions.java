package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.Runner;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Software versions of the runners that each service has, or had lately. A stream whose caller does not tell where it
 * began can go on only if there is a single one. The caller supplies the time. Thread-safe.
 */
public final class RecentVersions {
    /** Time for which a version counts after its last runner has gone; no stream lasts longer. */
    static final long REMEMBERED_MS = 120_000;

    private final Map<StreamOrigin, Long> lastSeenNanos = new HashMap<>();
    private Set<StreamOrigin> present = Set.of();

    private RecentVersions() {}

    /** Returns an object that has seen no runners. */
    public static RecentVersions create() {
        return new RecentVersions();
    }

    /** Records the present runners of all services. */
    public synchronized void observe(Collection<Runner> runners, long nowNanos) {
        present.forEach(version -> lastSeenNanos.put(version, nowNanos));
        present = new HashSet<>();
        runners.forEach(runner -> present.add(new StreamOrigin(runner.service(), runner.softwareVersion())));
        long rememberedNanos = TimeUnit.MILLISECONDS.toNanos(REMEMBERED_MS);
        lastSeenNanos.values().removeIf(seenNanos -> nowNanos - seenNanos > rememberedNanos);
    }

    /** Returns the only version that a service has, or had lately; empty if there is none or more than one. */
    public synchronized Optional<String> onlyVersion(String service, long nowNanos) {
        long rememberedNanos = TimeUnit.MILLISECONDS.toNanos(REMEMBERED_MS);
        Set<StreamOrigin> candidates = new HashSet<>(present);
        lastSeenNanos.forEach((version, seenNanos) -> {
            if (nowNanos - seenNanos <= rememberedNanos) {
                candidates.add(version);
            }
        });
        List<String> versions = candidates.stream()
                .filter(version -> version.service().equals(service))
                .map(StreamOrigin::softwareVersion)
                .toList();
        return versions.size() == 1 ? Optional.of(versions.getFirst()) : Optional.empty();
    }
}
