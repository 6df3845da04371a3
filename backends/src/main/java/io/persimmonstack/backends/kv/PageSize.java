package io.persimmonstack.backends.kv;

/** Number of entries to request in the next page of a range, adapted to the size of the previous pages. */
final class PageSize {
    static final int INITIAL_ENTRIES = 32;
    private static final int MAX_ENTRIES = 8_192;
    private static final int MAX_GROWTH_FACTOR = 8;
    /** Size of values that a page should have. */
    private static final long TARGET_PAGE_BYTES = 4L << 20;

    private int entries = INITIAL_ENTRIES;

    /** Returns the number of entries to request. */
    int entries() {
        return entries;
    }

    /**
     * Adapts to a page that was read.
     *
     * @param count number of entries in the page
     * @param bytes total size of the values in the page
     */
    void adaptTo(int count, long bytes) {
        long fittingEntries = bytes == 0 ? MAX_ENTRIES : count * TARGET_PAGE_BYTES / bytes;
        long maxEntries = Math.min(MAX_ENTRIES, (long) entries * MAX_GROWTH_FACTOR);
        entries = (int) Math.clamp(fittingEntries, 1, maxEntries);
    }

    /**
     * Halves the number of entries after a page that was too large. Returns false if the page had a single entry
     * already.
     */
    boolean shrink() {
        if (entries == 1) {
            return false;
        }
        entries = entries / 2;
        return true;
    }
}
