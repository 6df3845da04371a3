package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.LoadedModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Loads ordered recently that announced runner states may not show yet, so that none is ordered twice. A load is kept
 * while requests for it follow each other within a few seconds, and its runner has to confirm it as often. Thread-safe.
 */
final class RecentLoads {
    private static final long RETENTION_NANOS = 3_000_000_000L;

    /**
     * One ordered load.
     *
     * @param answer answer of the runner's owner
     * @param confirmedAtNanos monotonic time of that answer
     * @param requestedAtNanos monotonic time of the last request for the model or adapter
     */
    private record Entry(LoadAnswer answer, long confirmedAtNanos, long requestedAtNanos) {
        private Entry requestedAt(long nowNanos) {
            return new Entry(answer, confirmedAtNanos, nowNanos);
        }
    }

    private final TimeSource time;
    private final Map<LoadKey, List<Entry>> entries = new HashMap<>();

    RecentLoads(TimeSource time) {
        this.time = time;
    }

    /** Remembers an owner's answer if it says that a load was ordered on a runner; ignores all others. */
    synchronized void add(LoadKey key, LoadAnswer answer) {
        if (answer.getResult() == LoadResult.LOADING && answer.isSetRunner()) {
            remove(key, answer.getRunner());
            long nowNanos = time.nanoTime();
            entries.computeIfAbsent(key, ignored -> new ArrayList<>()).add(new Entry(answer, nowNanos, nowNanos));
        }
    }

    /** Records that the owner of a runner has confirmed its load of a model or adapter. */
    synchronized void confirm(LoadKey key, String runner) {
        long nowNanos = time.nanoTime();
        entries.getOrDefault(key, new ArrayList<>())
                .replaceAll(entry -> entry.answer().getRunner().equals(runner)
                        ? new Entry(entry.answer(), nowNanos, entry.requestedAtNanos())
                        : entry);
    }

    /** Forgets the load of a model or adapter on a runner. */
    synchronized void remove(LoadKey key, String runner) {
        entries.getOrDefault(key, new ArrayList<>())
                .removeIf(entry -> entry.answer().getRunner().equals(runner));
    }

    /**
     * Returns the answers of recent loads that the runners do not announce yet, and forgets the others. Call it once
     * for each request.
     */
    synchronized List<LoadAnswer> pending(LoadKey key, List<RunnerView> runners) {
        List<Entry> orderedLoads = entries.getOrDefault(key, List.of());
        if (orderedLoads.isEmpty()) {
            return List.of();
        }
        Set<String> announced = runners.stream()
                .filter(runner -> isAnnounced(runner, key))
                .map(RunnerView::runner)
                .collect(Collectors.toSet());
        long nowNanos = time.nanoTime();
        orderedLoads.removeIf(entry -> nowNanos - entry.requestedAtNanos() > RETENTION_NANOS
                || announced.contains(entry.answer().getRunner()));
        orderedLoads.replaceAll(entry -> entry.requestedAt(nowNanos));
        return orderedLoads.stream()
                .map(entry -> new LoadAnswer(entry.answer()))
                .toList();
    }

    /** Returns the runners that have not confirmed their load of a model or adapter for a few seconds. */
    synchronized List<String> unconfirmedRunners(LoadKey key) {
        long nowNanos = time.nanoTime();
        return entries.getOrDefault(key, List.of()).stream()
                .filter(entry -> nowNanos - entry.confirmedAtNanos() > RETENTION_NANOS)
                .map(entry -> entry.answer().getRunner())
                .toList();
    }

    /** Returns whether a runner announces the model or adapter; leaving runners do not count. */
    private static boolean isAnnounced(RunnerView runner, LoadKey key) {
        Optional<LoadedModel> model = runner.leaving() ? Optional.empty() : runner.model(key.model());
        return model.filter(loadedModel ->
                        key.adapter().map(loadedModel.getAdapters()::contains).orElse(true))
                .isPresent();
    }
}
