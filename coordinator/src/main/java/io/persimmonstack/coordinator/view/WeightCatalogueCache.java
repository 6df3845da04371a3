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

/** Cache of the weight store's catalogue. A failed read keeps the previous catalogue. */
public final class WeightCatalogueCache {
    private static final EventLog LOG = EventLog.of(WeightCatalogueCache.class);

    /** Age from which the catalogue is read again, in milliseconds. */
    private static final long REFRESH_INTERVAL_MS = 60_000;

    /** Catalogue with the accelerator memory, in bytes, of each model and adapter. */
    private record IndexedCatalogue(WeightCatalogue catalogue, Map<LoadKey, Long> memoryBytesByKey) {}

    private final WeightStore store;
    private volatile Optional<IndexedCatalogue> latest = Optional.empty();
    /** Wall-clock time of the last attempt of {@link #refreshIfDue}, in milliseconds. */
    private volatile long attemptedAtMs;

    private WeightCatalogueCache(WeightStore store) {
        this.store = store;
    }

    /** Creates a cache that is empty until the first {@link #refresh()}. */
    public static WeightCatalogueCache of(WeightStore store) {
        return new WeightCatalogueCache(store);
    }

    /**
     * Reads the catalogue from the store if there is none yet or it is due again; a failed read is due as late as a
     * successful one.
     *
     * @param nowMs wall-clock time, in milliseconds
     */
    public void refreshIfDue(long nowMs) {
        if (latest.isEmpty() || nowMs - attemptedAtMs > REFRESH_INTERVAL_MS) {
            refresh();
            attemptedAtMs = nowMs;
        }
    }

    /** Reads the catalogue from the store. If that fails, logs the failure and keeps the previous catalogue. */
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

    /** Returns the catalogue as last read, or empty if no read has succeeded yet. */
    public Optional<WeightCatalogue> catalogue() {
        return latest.map(IndexedCatalogue::catalogue);
    }

    /**
     * Returns the accelerator memory that a model and its adapter need, in bytes.
     *
     * @param key model version and optional adapter
     * @return the sizes, or empty if the catalogue was not read yet or does not list the model or the adapter
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
