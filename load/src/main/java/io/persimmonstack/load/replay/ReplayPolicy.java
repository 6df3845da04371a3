package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;

/** Policy that decides in a replay when models are loaded and unloaded. */
sealed interface ReplayPolicy {
    /** Returns the name shown in tables and plots. */
    String name();

    /** Keep-alive policy of the coordinator, adaptive or fixed: the replay runs the production class. */
    record KeepAlive(String name, KeepAlivePolicy policy) implements ReplayPolicy {}

    /** Baseline that unloads only to free accelerators for another model, least recently used first. */
    record LeastRecentlyUsed(String name) implements ReplayPolicy {}

    /**
     * Lower bound that knows the next arrival: keeps a model loaded if that is cheaper than loading it again, and loads
     * it just in time if {@code loadsAhead}.
     */
    record Clairvoyant(String name, boolean loadsAhead) implements ReplayPolicy {}
}
