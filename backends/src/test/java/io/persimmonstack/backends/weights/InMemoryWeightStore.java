package io.persimmonstack.backends.weights;

/** In-memory {@link WeightStore} for tests. */
public final class InMemoryWeightStore implements WeightStore {
    private volatile WeightCatalogue catalogue;
    private volatile boolean down;

    private InMemoryWeightStore(WeightCatalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** Returns a weight store with the given catalogue. */
    public static InMemoryWeightStore of(WeightCatalogue catalogue) {
        return new InMemoryWeightStore(catalogue);
    }

    /** Replaces the catalogue. */
    public void replace(WeightCatalogue next) {
        catalogue = next;
    }

    /** Makes reads fail for as long as {@code isDown} is set. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    @Override
    public WeightCatalogue catalogue() throws WeightStoreException {
        if (down) {
            throw new WeightStoreException("the weight store is down");
        }
        return catalogue;
    }
}
