package io.persimmonstack.coordinator.load;

/**
 * Accelerator memory that a load takes.
 *
 * @param baseBytes bytes of the base model
 * @param adapterBytes bytes of the adapter, 0 without one
 */
public record LoadSizes(long baseBytes, long adapterBytes) {
    /** Returns the bytes of base model and adapter together. */
    public long totalBytes() {
        return baseBytes + adapterBytes;
    }
}
