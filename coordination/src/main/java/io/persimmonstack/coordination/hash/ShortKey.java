package io.persimmonstack.coordination.hash;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Keys of bounded length for identifiers that clients choose. */
public final class ShortKey {
    /** Longest identifier that is its own key, in characters. No key is longer. */
    public static final int MAX_LENGTH = 64;

    private static final String DIGEST_PREFIX = "digest-";

    private ShortKey() {}

    /** Returns the key of an identifier: itself, or a digest if it is long. Equal ones have equal keys. */
    public static String of(String identifier) {
        return identifier.length() <= MAX_LENGTH
                ? identifier
                : DIGEST_PREFIX + UUID.nameUUIDFromBytes(identifier.getBytes(StandardCharsets.UTF_8));
    }
}
