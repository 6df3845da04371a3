package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks which software versions of each service are on their way out: a runner of the version is leaving or has lately
 * left while a runner of another version takes requests. Versions have no order, so that it can't be told otherwise.
 * Callers pass the time. Not thread-safe; guarded by the lock of {@link Placer}.
 */
final class OutgoingVersions {
    /** Time for which a version whose runner has left counts as on its way out. */
    private static final long REMEMBERED_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Monotonic times at which a runner of a version was last seen leaving or found to have left. */
    private final Map<ServiceVersion, Long> lastLeftNanos = new HashMap<>();

    /** Versions with a runner that takes requests, by service. */
    private final Map<String, Set<String>> servingVersions = new HashMap<>();

    private Map<String, Runner> runners = Map.of();

    private record ServiceVersion(String service, String softwareVersion) {
        static ServiceVersion of(Runner runner) {
            return new ServiceVersion(runner.service(), runner.softwareVersion());
        }
    }

    /** Replaces the listed runners, by identifier. */
    void update(Map<String, Runner> newRunners, long nowNanos) {
        runners.values().stream()
                .filter(runner -> hasLeft(runner, newRunners))
                .forEach(runner -> lastLeftNanos.put(ServiceVersion.of(runner), nowNanos));
        newRunners.values().stream()
                .filter(Runner::leaving)
                .forEach(runner -> lastLeftNanos.put(ServiceVersion.of(runner), nowNanos));
        lastLeftNanos.values().removeIf(leftNanos -> nowNanos - leftNanos > REMEMBERED_NANOS);
        runners = Map.copyOf(newRunners);
        updateServingVersions(runners.values());
    }

    /** Returns whether a runner is gone; one that was restarted with the same version is not. */
    private static boolean hasLeft(Runner runner, Map<String, Runner> newRunners) {
        Runner newer = newRunners.get(runner.id());
        return newer == null || !ServiceVersion.of(newer).equals(ServiceVersion.of(runner));
    }

    private void updateServingVersions(Collection<Runner> listed) {
        servingVersions.clear();
        listed.stream()
                .filter(runner -> !runner.leaving())
                .forEach(runner -> servingVersions
                        .computeIfAbsent(runner.service(), service -> new HashSet<>())
                        .add(runner.softwareVersion()));
    }

    /**
     * Returns until when the version of a listed runner counts as on its way out, by the monotonic clock; empty if it
     * does not.
     */
    OptionalLong outgoingUntilNanos(Runner runner) {
        Long leftNanos = lastLeftNanos.get(ServiceVersion.of(runner));
        boolean severalVersions =
                servingVersions.getOrDefault(runner.service(), Set.of()).size() > 1;
        return leftNanos != null && severalVersions
                ? OptionalLong.of(leftNanos + REMEMBERED_NANOS)
                : OptionalLong.empty();
    }
}
