package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;

/** Way of deciding that is replayed. */
sealed interface ReplayPolicy {
    /** Returns the name shown in tables and plots. */
    String name();

    /** Decides with the class that the daemon runs. */
    record KeepAlive(String name, KeepAlivePolicy policy) implements ReplayPolicy {}

    /** Keeps what is loaded until another model needs the room, least recently used first. */
    record LeastRecentlyUsed(String name) implements ReplayPolicy {}

    /** Knows the next arrival: stays loaded where that is cheaper than loading again, and loads ahead if allowed. */
    record Clairvoyant(String name, boolean loadsAhead) implements ReplayPolicy {}
}
