package io.persimmonstack.backends.engine;

/** Result of an order to unload. */
public sealed interface UnloadOutcome {
    /** The model or adapter is no longer loaded, or was not loaded in the first place. */
    record Unloaded() implements UnloadOutcome {}

    /**
     * The engine has seen a higher fencing token and ignored the order.
     *
     * @param fence highest fencing token that the engine has seen
     */
    record Fenced(long fence) implements UnloadOutcome {}

    /**
     * The engine refused the order for another reason and changed nothing.
     *
     * @param detail status and start of the response body
     */
    record Refused(String detail) implements UnloadOutcome {}

    /**
     * The order provably did not leave this process.
     *
     * @param detail what failed
     */
    record NotSent(String detail) implements UnloadOutcome {}

    /**
     * The order may have taken effect or may still do so; only the state of the engine shows which.
     *
     * @param detail what failed
     */
    record Unknown(String detail) implements UnloadOutcome {}
}
