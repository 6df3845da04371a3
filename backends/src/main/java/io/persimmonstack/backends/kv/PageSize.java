package io.persimmonstack.backends.kv;

/** Number of entries to ask for in one page of a range, fitted to the size of the pages before. */
final class PageSize {
    static final int FIRST_ENTRIES = 32;
    private static final int MAX_ENTRIES = 8_192;
    private static final int MAX_GROWTH = 8;
    private static final long TARGET_BYTES = 4L << 20;
    private int entries = FIRST_ENTRIES;

    int entries() {
        return entries;
    }

    /** Learns from a page that arrived. */
    void arrived(int count, long bytes) {
        long fitting = bytes == 0 ? MAX_ENTRIES : count * TARGET_BYTES / bytes;
        long most = Math.min(MAX_ENTRIES, (long) entries * MAX_GROWTH);
        entries = (int) Math.clamp(fitting, 1, most);
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
