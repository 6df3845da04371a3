package io.persimmonstack.backends.engine;

/** Answer to an order to load. */
public sealed interface LoadOutcome {
    /** The load has begun; the state tells when it is done. */
    record Accepted() implements LoadOutcome {}

    /** The model or adapter is loaded. */
    record Loaded() implements LoadOutcome {}

    /**
     * The engine has seen a higher fencing number and did nothing.
     *
     * @param fence highest fencing number seen
     */
    record Fenced(long fence) implements LoadOutcome {}

    /** The engine has too little memory left and did nothing. */
    record NoMemory() implements LoadOutcome {}

    /**
     * The engine refused for another reason and did nothing.
     *
     * @param detail status and beginning of the answer
     */
    record Refused(String detail) implements LoadOutcome {}

    /**
     * The order provably did not leave this process.
     *
     * @param detail what failed
     */
    record NotSent(String detail) implements LoadOutcome {}

    /**
     * The order may have taken effect, now or later.
     *
     * @param detail what failed
     */
    record Unknown(String detail) implements LoadOutcome {}
}
