package io.persimmonstack.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Salted hash of the secret that one caller presents. A key reads {@code caller.secret}.
 *
 * @param caller name of the caller, without {@code .}
 * @param salt random text
 * @param hash SHA-256 of salt and key, hexadecimal
 */
public record CallerKey(String caller, String salt, String hash) {
    private static final char SEPARATOR = '.';

    /**
     * Hashes a key.
     *
     * @param caller name of the caller
     * @param salt random text
     * @param key the whole key, {@code caller.secret}
     * @return what to keep of it
     */
    public static CallerKey of(String caller, String salt, String key) {
        return new CallerKey(caller, salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /**
     * Joins the parts of a key.
     *
     * @param caller name of the caller
     * @param secret random text
     * @return the key to give to the caller
     */
    public static String key(String caller, String secret) {
        return caller + SEPARATOR + secret;
    }

    /**
     * Returns whether this is the key that a caller presented, in a time that tells nothing about it.
     *
     * @param presentedKey key from the request
     * @return whether it is the caller's
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
