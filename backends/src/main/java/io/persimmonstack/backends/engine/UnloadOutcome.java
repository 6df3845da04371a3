package io.persimmonstack.backends.engine;

/** Answer to an order to unload. */
public sealed interface UnloadOutcome {
    /** The model or adapter is not loaded any more. */
    record Unloaded() implements UnloadOutcome {}

    /**
     * The engine has seen a higher fencing number and did nothing.
     *
     * @param fence highest fencing number seen
     */
    record Fenced(long fence) implements UnloadOutcome {}

    /**
     * The engine refused for another reason and did nothing.
     *
     * @param detail status and beginning of the answer
     */
    record Refused(String detail) implements UnloadOutcome {}

    /**
     * The order provably did not leave this process.
     *
     * @param detail what failed
     */
    record NotSent(String detail) implements UnloadOutcome {}

    /**
     * The order may have taken effect, now or later.
     *
     * @param detail what failed
     */
    record Unknown(String detail) implements UnloadOutcome {}
}
