package io.persimmonstack.coordination.claim;

import java.nio.charset.StandardCharsets;

/** Names of the keys that store one shard of the claim log in the key-value service. */
final class ClaimKeys {
    private static final String ROOT = "/persimmon/claim/";
    private static final String FLOOR_NAME = "floor";

    private final String prefix;

    ClaimKeys(int shard) {
        this.prefix = ROOT + shard + "/";
    }

    String prefix() {
        return prefix;
    }

    /** Returns the key of a segment; zero-padded, so that keys sort by segment number. */
    String segmentKey(long number) {
        return prefix + String.format("%020d", number);
    }

    /** Returns the key that stores the floor: the lowest segment number that retention has not deleted. */
    String floorKey() {
        return prefix + FLOOR_NAME;
    }

    static byte[] encodeFloor(long floor) {
        return Long.toString(floor).getBytes(StandardCharsets.US_ASCII);
    }

    static long decodeFloor(byte[] value) {
        return Long.parseLong(new String(value, StandardCharsets.US_ASCII));
    }
}
