package io.persimmonstack.node.placing;

import java.util.Map;

/**
 * Price of sending a request to another zone, in units of the usual time of a request: the round trips and the charge
 * for the bytes of the request and its answer.
 */
final class ZonePrices {
    /** Price of the round trips: about 2 ms of a request of 100 ms, and some margin against needless departures. */
    private static final double FIXED = 0.05;
    /** Price of 64 KiB, which is about the size of a stream of 600 tokens. */
    private static final double PER_64_KIB = 0.1;

    private static final double BYTES_64_KIB = 65_536;
    /** Factor of both for a zone in another region, where round trips take tens of milliseconds. */
    private static final double OTHER_REGION_FACTOR = 10;

    private final String home;
    private final Map<String, String> regions;

    private ZonePrices(String home, Map<String, String> regions) {
        this.home = home;
        this.regions = regions;
    }

    /**
     * Returns the prices for requests of a node.
     *
     * @param home zone of the node
     * @param regions regions by zone
     */
    static ZonePrices of(String home, Map<String, String> regions) {
        return new ZonePrices(home, Map.copyOf(regions));
    }

    /** Returns the price of sending a request whose body and answer have the given size to a zone. */
    double of(String zone, long bytes) {
        if (zone.equals(home)) {
            return 0;
        }
        boolean sameRegion = regions.containsKey(zone) && regions.get(zone).equals(regions.get(home));
        return (FIXED + PER_64_KIB * bytes / BYTES_64_KIB) * (sameRegion ? 1 : OTHER_REGION_FACTOR);
    }
}
