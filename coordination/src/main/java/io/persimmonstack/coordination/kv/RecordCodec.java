package io.persimmonstack.coordination.kv;

/**
 * Encodes records as the bytes stored in the key-value service, and decodes them.
 *
 * @param <T> record type
 */
public interface RecordCodec<T> {
    /**
     * Encodes a record.
     *
     * @param value record to encode
     * @return encoded bytes
     */
    byte[] encode(T value);

    /**
     * Decodes a stored record.
     *
     * @param bytes stored bytes
     * @return the decoded record
     * @throws KvCorruptException if the bytes are not a valid record of this type
     */
    T decode(byte[] bytes) throws KvCorruptException;
}
