package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import java.util.Set;

/** Storage from which a runner loads the weights of a model. */
enum LoadSource {
    /** Host memory of the runner. */
    MEMORY,
    /** Disk of the runner. */
    DISK,
    /** The weight store, whose limited load rate is shared by all runners. */
    STORE;

    /** Returns the fastest source for a model, given the copies in a runner's host memory and on its disk. */
    static LoadSource of(String model, Set<String> inMemory, Set<String> onDisk) {
        if (inMemory.contains(model)) {
            return MEMORY;
        }
        return onDisk.contains(model) ? DISK : STORE;
    }

    /** Returns the configured duration of loading a model from this source, in milliseconds. */
    long loadMs(Model model) {
        return switch (this) {
            case MEMORY -> model.memoryLoadMs();
            case DISK -> model.diskLoadMs();
            case STORE -> model.storeLoadMs();
        };
    }
}
