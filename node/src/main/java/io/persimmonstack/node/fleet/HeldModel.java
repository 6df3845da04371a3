package io.persimmonstack.node.fleet;

import java.util.Set;

/**
 * Model that is loaded on a runner.
 *
 * @param name name of the model
 * @param version version of its weights
 * @param adapters names of the adapters loaded for it
 */
public record HeldModel(String name, long version, Set<String> adapters) {
    /** Copies the adapters. */
    public HeldModel {
        adapters = Set.copyOf(adapters);
    }
}
