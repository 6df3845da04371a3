package io.persimmonstack.standin.fault;

/**
 * Fault with its measures, as {@code POST /faults} carries it; a measure that a fault does not use is ignored.
 *
 * @param fault name on the wire
 * @param delayMs extra time, in milliseconds
 * @param ms age of the host list, in milliseconds
 * @param factor how many times longer something takes
 * @param share share of occurrences hit, 0 for all
 * @param count occurrences hit before the fault ends by itself, 0 for no end
 */
public record FaultOrder(String fault, int delayMs, int ms, double factor, double share, int count) {
    /** Returns a fault that hits every occurrence. */
    public static FaultOrder of(FaultType fault) {
        return new FaultOrder(fault.wireName(), 0, 0, 0, 0, 0);
    }

    /** Returns this fault for the next occurrences only. */
    public FaultOrder limitedTo(int occurrences) {
        return new FaultOrder(fault, delayMs, ms, factor, share, occurrences);
    }

    /** Returns this fault with an extra time in milliseconds. */
    public FaultOrder delayedBy(int milliseconds) {
        return new FaultOrder(fault, milliseconds, ms, factor, share, count);
    }
}
