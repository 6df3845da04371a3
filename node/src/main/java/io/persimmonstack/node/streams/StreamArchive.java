package io.persimmonstack.node.streams;

import java.util.Optional;

/** Place outside of the nodes' memories in which it is left where streams began. Thread-safe; never blocks. */
interface StreamArchive {
    /** Adds a stream whose delivery begins. */
    void add(DeliveredStream stream);

    /** Records that a stream began at a version of a service that no entry has told. */
    void recordUntold(String service);

    /** Returns where a stream began, empty if that was not left. */
    Optional<StreamOrigin> find(String request);

    /** Returns an archive that keeps nothing. */
    static StreamArchive none() {
        return new StreamArchive() {
            @Override
            public void add(DeliveredStream stream) {}

            @Override
            public void recordUntold(String service) {}

            @Override
            public Optional<StreamOrigin> find(String request) {
                return Optional.empty();
            }
        };
    }
}
