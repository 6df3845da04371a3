package io.persimmonstack.coordinator.view;

import io.persimmonstack.backends.weights.Weight;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.backends.weights.WeightStore;
import io.persimmonstack.backends.weights.WeightStoreException;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Catalogue of the weight store as read last. */
public final class Weights {
    private static final EventLog LOG = EventLog.of(Weights.class);

    private record Indexed(WeightCatalogue catalogue, Map<LoadKey, Long> memoryBytes) {}

    private final WeightStore store;
    private volatile Optional<Indexed> current = Optional.empty();

    private Weights(WeightStore store) {
        this.store = store;
    }

    /** Returns a catalogue that was not read yet. */
    public static Weights of(WeightStore store) {
        return new Weights(store);
    }

    /** Reads the catalogue; keeps the last one where that fails. */
    public void refresh() {
        try {
            WeightCatalogue read = store.catalogue();
            Map<LoadKey, Long> sizes = read.weights().stream()
                    .collect(Collectors.toMap(
                            weight -> new LoadKey(weight.base(), weight.adapter()),
                            Weight::memoryBytes,
                            (first, last) -> last));
            current = Optional.of(new Indexed(read, sizes));
        } catch (WeightStoreException e) {
            LOG.write(CoordinatorEvent.CATALOGUE_FAILED, e.getMessage());
        }
    }

    /** Returns the catalogue, if it was ever read. */
    public Optional<WeightCatalogue> catalogue() {
        return current.map(Indexed::catalogue);
    }

    /**
     * Returns the memory that a demand takes.
     *
     * @param key what is demanded
     * @return the memory, or empty where the catalogue does not have it
     */
    public Optional<LoadSizes> sizes(LoadKey key) {
        Optional<Long> base = memoryBytes(key.base());
        Optional<Long> adapter = key.adapter().isEmpty() ? Optional.of(0L) : memoryBytes(key);
        return base.flatMap(bytes -> adapter.map(extra -> new LoadSizes(bytes, extra)));
    }

    private Optional<Long> memoryBytes(LoadKey key) {
        return current.map(indexed -> indexed.memoryBytes().get(key));
    }
}
