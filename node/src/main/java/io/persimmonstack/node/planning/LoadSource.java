package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import java.util.Set;

/** Where the weights of a load come from. */
enum LoadSource {
    /** Host memory of the runner. */
    MEMORY,
    /** Disk of the runner. */
    DISK,
    /** The weight store, whose rate all runners share. */
    STORE;

    /** Returns where a load comes from, by the copies that a runner keeps. */
    static LoadSource of(String model, Set<String> inMemory, Set<String> onDisk) {
        if (inMemory.contains(model)) {
            return MEMORY;
        }
        return onDisk.contains(model) ? DISK : STORE;
    }

    /** Returns how long a load takes, in milliseconds. */
    long loadMs(Model model) {
        return switch (this) {
            case MEMORY -> model.memoryLoadMs();
            case DISK -> model.diskLoadMs();
            case STORE -> model.storeLoadMs();
        };
    }
}
