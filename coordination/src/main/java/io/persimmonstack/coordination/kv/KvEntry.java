package io.persimmonstack.coordination.kv;

/**
 * Key with its value and the revision of its last modification. The value array is not copied.
 *
 * @param key full key
 * @param value stored bytes
 * @param revision store revision at which the key was last modified, positive
 */
public record KvEntry(String key, byte[] value, long revision) {}
