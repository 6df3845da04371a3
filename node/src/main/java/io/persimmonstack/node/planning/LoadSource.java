package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;

/** Where the weights of a load come from. */
enum LoadSource {
    /** Host memory of the runner. */
    MEMORY,
    /** Disk of the runner. */
    DISK,
    /** The weight store, whose rate all runners share. */
    STORE;

    /** Returns how long a load takes, in milliseconds. */
    long loadMs(Model model) {
        return switch (this) {
            case MEMORY -> model.memoryLoadMs();
            case DISK -> model.diskLoadMs();
            case STORE -> model.storeLoadMs();
        };
    }
}
