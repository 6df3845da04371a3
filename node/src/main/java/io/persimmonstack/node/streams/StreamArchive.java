package io.persimmonstack.node.streams;

import java.util.Optional;

/** Place outside of the nodes' memories in which it is left where streams began. Thread-safe; never blocks. */
interface StreamArchive {
    /** Adds a stream whose delivery begins. */
    void add(DeliveredStream stream);

    /** Returns where a stream began, empty if that was not left. */
    Optional<StreamOrigin> find(String request);

    /** Returns an archive that keeps nothing. */
    static StreamArchive none() {
        return new StreamArchive() {
            @Override
            public void add(DeliveredStream stream) {}

            @Override
            public Optional<StreamOrigin> find(String request) {
                return Optional.empty();
            }
        };
    }
}
