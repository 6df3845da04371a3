package io.persimmonstack.standin.fault;

/**
 * Body of {@code POST /faults}: a fault and its parameters. Parameters that the fault does not use are ignored.
 *
 * @param fault wire name of the {@link FaultType}
 * @param delayMs extra delay, in milliseconds
 * @param ms lag of the host list, in milliseconds
 * @param factor multiplier of the duration; 2 makes an operation take twice as long
 * @param share fraction of occurrences to affect, from 0 to 1; 0 affects all
 * @param count number of occurrences after which the fault ends by itself, 0 for no limit
 */
public record FaultOrder(String fault, int delayMs, int ms, double factor, double share, int count) {
    /** Returns an order for a fault that affects every occurrence until it is cleared. */
    public static FaultOrder of(FaultType fault) {
        return new FaultOrder(fault.wireName(), 0, 0, 0, 0, 0);
    }

    /** Returns a copy of this order that ends after the given number of occurrences. */
    public FaultOrder limitedTo(int occurrences) {
        return new FaultOrder(fault, delayMs, ms, factor, share, occurrences);
    }

    /** Returns a copy of this order with the given extra delay, in milliseconds. */
    public FaultOrder delayedBy(int milliseconds) {
        return new FaultOrder(fault, milliseconds, ms, factor, share, count);
    }
}
