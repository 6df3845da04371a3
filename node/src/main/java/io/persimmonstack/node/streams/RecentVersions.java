package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.Runner;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Software versions of the runners that each service has, or had lately. A stream whose caller does not tell where it
 * began can go on only if there is a single one. The caller supplies the time. Thread-safe.
 */
public final class RecentVersions {
    /** Stands for a version that no entry has told. */
    static final String UNTOLD = "(untold)";
    /** Time for which a version counts after its last runner has gone; no stream lasts longer. */
    static final long REMEMBERED_MS = 120_000;

    /** Time after a doubt in which runners write again what the store may have lost. */
    static final long SETTLING_MS = 2_500;
    /** Age of the known runners from which the node may be cut off from the store. */
    static final long MAX_AGE_MS = 10_000;

    private final Map<StreamOrigin, Long> lastSeenNanos = new HashMap<>();
    private Set<StreamOrigin> present = Set.of();
    private boolean historyKnown;
    private OptionalLong doubtNanos = OptionalLong.empty();
    private OptionalLong completeUpToNanos = OptionalLong.empty();

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

    /**
     * Records that streams began at a version of a service that no entry has told. It counts as one more version, here
     * and, since versions are published, at the other nodes: no other one is the only version of these streams.
     */
    public synchronized void recordUntold(String service, long nowNanos) {
        lastSeenNanos.put(new StreamOrigin(service, UNTOLD), nowNanos);
    }

    /** Takes the versions that were known before this process started; they count as seen now. */
    public synchronized void startWith(Collection<StreamOrigin> versions, long nowNanos) {
        historyKnown = true;
        versions.forEach(version -> lastSeenNanos.put(version, nowNanos));
    }

    /** Records that the known runners may lack some, as after an outage of the store or when they were read anew. */
    public synchronized void recordDoubt(long nowNanos) {
        doubtNanos = OptionalLong.of(nowNanos);
    }

    /** Records that the known runners reflect all that the store accepted before a time. */
    public synchronized void recordCompleteUpTo(long nanos) {
        completeUpToNanos = OptionalLong.of(nanos);
    }

    /** Returns the versions that serve, or have served lately. */
    public synchronized Set<StreamOrigin> known(long nowNanos) {
        long rememberedNanos = TimeUnit.MILLISECONDS.toNanos(REMEMBERED_MS);
        Set<StreamOrigin> known = new HashSet<>(present);
        lastSeenNanos.forEach((version, seenNanos) -> {
            if (nowNanos - seenNanos <= rememberedNanos) {
                known.add(version);
            }
        });
        return known;
    }

    /**
     * Returns the only version at which a stream of a service can have begun; empty if there is none or more than one,
     * or if this node may not know of another one.
     */
    public synchronized Optional<String> certainVersion(String service, long nowNanos) {
        boolean settled =
                doubtNanos.isEmpty() || nowNanos - doubtNanos.getAsLong() > TimeUnit.MILLISECONDS.toNanos(SETTLING_MS);
        boolean recent = completeUpToNanos.isPresent()
                && nowNanos - completeUpToNanos.getAsLong() < TimeUnit.MILLISECONDS.toNanos(MAX_AGE_MS);
        return historyKnown && settled && recent ? onlyVersion(service, nowNanos) : Optional.empty();
    }

    /** Returns the only version that a service has, or had lately; empty if there is none or more than one. */
    public synchronized Optional<String> onlyVersion(String service, long nowNanos) {
        List<String> versions = known(nowNanos).stream()
                .filter(version -> version.service().equals(service))
                .map(StreamOrigin::softwareVersion)
                .toList();
        return versions.size() == 1 ? Optional.of(versions.getFirst()) : Optional.empty();
    }
}
