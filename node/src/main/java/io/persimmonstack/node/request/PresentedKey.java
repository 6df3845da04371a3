package io.persimmonstack.node.request;

/** What a request presents to prove its workspace. */
public sealed interface PresentedKey {
    /** The request presents nothing. */
    record Absent() implements PresentedKey {}

    /**
     * The request presents something that is not a single key.
     *
     * @param cause why it cannot be read, without its content
     */
    record Unreadable(String cause) implements PresentedKey {}

    /**
     * The request presents a key, which may be unknown.
     *
     * @param value the key
     */
    record Key(String value) implements PresentedKey {
        /** Leaves the key out, since texts end up in logs. */
        @Override
        public String toString() {
            return "Key[not shown]";
        }
    }
}
