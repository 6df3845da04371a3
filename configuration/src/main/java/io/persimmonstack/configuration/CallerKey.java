package io.persimmonstack.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Salted hash of a caller's API key, stored in place of the key. A key has the form {@code caller.secret}.
 *
 * @param caller name of the caller; contains no {@code .}
 * @param salt random text, stored with the hash
 * @param hash SHA-256 of the salt followed by the key, in hexadecimal
 */
public record CallerKey(String caller, String salt, String hash) {
    private static final char SEPARATOR = '.';

    /**
     * Returns the salted hash of a key.
     *
     * @param caller name of the caller
     * @param salt random text, stored with the hash
     * @param key whole key in the form {@code caller.secret}
     * @return the hash to store
     */
    public static CallerKey of(String caller, String salt, String key) {
        return new CallerKey(caller, salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /**
     * Returns the key for a caller and its secret.
     *
     * @param caller name of the caller
     * @param secret random text
     * @return the key in the form {@code caller.secret}
     */
    public static String key(String caller, String secret) {
        return caller + SEPARATOR + secret;
    }

    /**
     * Returns whether a presented key matches this hash. The hashes are compared in constant time to prevent timing
     * attacks.
     *
     * @param presentedKey key from the request
     * @return whether the key belongs to this caller
     */
    public boolean matches(String presentedKey) {
        boolean hasCallerPrefix = presentedKey.startsWith(caller + SEPARATOR);
        return hasCallerPrefix && MessageDigest.isEqual(HexFormat.of().parseHex(hash), digest(salt, presentedKey));
    }

    private static byte[] digest(String salt, String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(salt.getBytes(StandardCharsets.UTF_8));
            return sha256.digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing; every Java platform must provide it", e);
        }
    }
}
