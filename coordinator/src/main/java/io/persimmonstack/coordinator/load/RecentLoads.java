package io.persimmonstack.coordinator.load;

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
 * Loads ordered recently that announced runner states may not show yet, kept for a few seconds so that none is ordered
 * twice. Thread-safe.
 */
final class RecentLoads {
    private static final long RETENTION_NANOS = 3_000_000_000L;

    private record Entry(LoadAnswer answer, long orderedAtNanos) {}

    private final Map<LoadKey, List<Entry>> entries = new HashMap<>();

    /** Remembers an answer if it says that a load was ordered on a runner; ignores all others. */
    synchronized void add(LoadKey key, LoadAnswer answer) {
        if (answer.getResult() == LoadResult.LOADING && answer.isSetRunner()) {
            List<Entry> orderedLoads = entries.computeIfAbsent(key, ignored -> new ArrayList<>());
            orderedLoads.removeIf(entry -> entry.answer().getRunner().equals(answer.getRunner()));
            orderedLoads.add(new Entry(answer, System.nanoTime()));
        }
    }

    /** Returns the answers of recent loads that the runners do not announce yet, and forgets the others. */
    synchronized List<LoadAnswer> pending(LoadKey key, List<RunnerView> runners) {
        List<Entry> orderedLoads = entries.getOrDefault(key, List.of());
        if (orderedLoads.isEmpty()) {
            return List.of();
        }
        Set<String> announced = runners.stream()
                .filter(runner -> isAnnounced(runner, key))
                .map(RunnerView::runner)
                .collect(Collectors.toSet());
        orderedLoads.removeIf(entry -> System.nanoTime() - entry.orderedAtNanos() > RETENTION_NANOS
                || announced.contains(entry.answer().getRunner()));
        return orderedLoads.stream()
                .map(entry -> new LoadAnswer(entry.answer()))
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
