package io.persimmonstack.backends.engine;

/** Result of an order to load. */
public sealed interface LoadOutcome {
    /** The engine has started the load; its state shows when the load is complete. */
    record Accepted() implements LoadOutcome {}

    /** The model or adapter is loaded. */
    record Loaded() implements LoadOutcome {}

    /**
     * The engine has seen a higher fencing token and ignored the order.
     *
     * @param fence highest fencing token that the engine has seen
     */
    record Fenced(long fence) implements LoadOutcome {}

    /** The engine has too little free memory and changed nothing. */
    record NoMemory() implements LoadOutcome {}

    /**
     * The engine refused the order for another reason and changed nothing.
     *
     * @param detail status and start of the response body
     */
    record Refused(String detail) implements LoadOutcome {}

    /**
     * The order provably did not leave this process.
     *
     * @param detail what failed
     */
    record NotSent(String detail) implements LoadOutcome {}

    /**
     * The order may have taken effect or may still do so; only the state of the engine shows which.
     *
     * @param detail what failed
     */
    record Unknown(String detail) implements LoadOutcome {}
}
