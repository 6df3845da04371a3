package io.persimmonstack.backends.weights;

/** Catalogue of checkpoints and adapters with the limits of the store; engines fetch the bytes themselves. */
public interface WeightStore {
    /**
     * Reads the catalogue.
     *
     * @return sizes and limits
     * @throws WeightStoreException if the service gave no usable answer
     */
    WeightCatalogue catalogue() throws WeightStoreException;
}
