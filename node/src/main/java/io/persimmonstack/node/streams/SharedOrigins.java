package io.persimmonstack.node.streams;

import java.util.Optional;

/** Origins of the streams that this node delivers. */
public final class SharedOrigins implements OriginDirectory {
    private final StreamOrigins local = StreamOrigins.create();

    private SharedOrigins() {}

    /** Returns a directory without any origins. */
    public static SharedOrigins create() {
        return new SharedOrigins();
    }

    @Override
    public KeptOrigin keep(String request, StreamOrigin origin, long validMs) {
        local.keep(request, origin, validMs, System.nanoTime());
        return () -> {};
    }

    @Override
    public Optional<StreamOrigin> find(String request) throws InterruptedException {
        return local.find(request, System.nanoTime());
    }
}
