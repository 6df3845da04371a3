package io.persimmonstack.node.pace;

/**
 * Kind of duration whose usual value is learned on its own.
 *
 * @param service service of the runner
 * @param route route of the request
 * @param kind measured duration
 * @param sizeClass binary logarithm of the number of tokens that the duration depends on; 0 if on none
 */
public record PaceKey(String service, String route, PaceKind kind, int sizeClass) {
    /**
     * Returns the key of a duration.
     *
     * @param service service of the runner
     * @param route route of the request
     * @param kind measured duration
     * @param tokens tokens that the duration depends on; 0 if on none
     */
    public static PaceKey of(String service, String route, PaceKind kind, long tokens) {
        return new PaceKey(service, route, kind, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, tokens)));
    }
}
