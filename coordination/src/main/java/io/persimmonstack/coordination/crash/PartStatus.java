package io.persimmonstack.coordination.crash;

/** What the observations say about a part of prompts. A part without a status is taken for harmless. */
public sealed interface PartStatus {
    /** Returns the number of process ends with the part that no blocked part explains, or that the part explains. */
    int ends();

    /** The part may end processes: few requests with it should run at a time. */
    record Suspected(int ends) implements PartStatus {}

    /**
     * The part ends processes.
     *
     * @param ends number of ends
     * @param lastEndNanos monotonic time at which the last of them became known
     */
    record Blocked(int ends, long lastEndNanos) implements PartStatus {}
}
