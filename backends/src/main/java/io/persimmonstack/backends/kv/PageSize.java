package io.persimmonstack.backends.kv;

/** Number of entries to ask for in one page of a range, fitted to the size of the pages before. */
final class PageSize {
    static final int INITIAL_ENTRIES = 32;
    private static final int MAX_ENTRIES = 8_192;
    private static final int MAX_GROWTH_FACTOR = 8;
    private static final long TARGET_PAGE_BYTES = 4L << 20;
    private int entries = INITIAL_ENTRIES;

    int entries() {
        return entries;
    }

    /** Learns from a page that adaptTo. */
    void adaptTo(int count, long bytes) {
        long fittingEntries = bytes == 0 ? MAX_ENTRIES : count * TARGET_PAGE_BYTES / bytes;
        long maxEntries = Math.min(MAX_ENTRIES, (long) entries * MAX_GROWTH_FACTOR);
        entries = (int) Math.clamp(fittingEntries, 1, maxEntries);
    }

    /** Asks for less after a page that was too large; returns false where one entry was too large. */
    boolean shrink() {
        if (entries == 1) {
            return false;
        }
        entries = entries / 2;
        return true;
    }
}
