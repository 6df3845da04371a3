package io.persimmonstack.backends.weights;

/** Catalogue of the weight store. It holds sizes and limits only; engines fetch the weights themselves. */
public interface WeightStore {
    /**
     * Reads the catalogue.
     *
     * @return contents and load limits
     * @throws WeightStoreException if the weight store returned no usable response
     */
    WeightCatalogue catalogue() throws WeightStoreException;
}
