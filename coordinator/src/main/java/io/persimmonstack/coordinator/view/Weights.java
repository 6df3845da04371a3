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

    private record IndexedCatalogue(WeightCatalogue catalogue, Map<LoadKey, Long> memoryBytesByKey) {}

    private final WeightStore store;
    private volatile Optional<IndexedCatalogue> latest = Optional.empty();

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
            WeightCatalogue catalogue = store.catalogue();
            Map<LoadKey, Long> memoryBytesByKey = catalogue.weights().stream()
                    .collect(Collectors.toMap(
                            weight -> new LoadKey(weight.base(), weight.adapter()),
                            Weight::memoryBytes,
                            (first, last) -> last));
            latest = Optional.of(new IndexedCatalogue(catalogue, memoryBytesByKey));
        } catch (WeightStoreException e) {
            LOG.write(CoordinatorEvent.CATALOGUE_FAILED, e.getMessage());
        }
    }

    /** Returns the catalogue, if it was ever read. */
    public Optional<WeightCatalogue> catalogue() {
        return latest.map(IndexedCatalogue::catalogue);
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
        return base.flatMap(baseBytes -> adapter.map(adapterBytes -> new LoadSizes(baseBytes, adapterBytes)));
    }

    private Optional<Long> memoryBytes(LoadKey key) {
        return latest.map(indexed -> indexed.memoryBytesByKey().get(key));
    }
}
