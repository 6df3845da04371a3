package io.persimmonstack.node.planning;

/**
 * Limits of the concurrent loads from the weight store, over all runners.
 *
 * @param loads loads that the weight store serves concurrently at full speed; more slow each other down
 * @param urgentLoads limit for models with a high request rate
 */
record StoreLimits(int loads, int urgentLoads) {
    /** Limits until the concurrency of the weight store has been learned. */
    static final StoreLimits UNLEARNED = new StoreLimits(4, 6);
}
