package io.persimmonstack.wire.codec;

import io.persimmonstack.coordination.kv.KvCorruptException;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Converts Thrift structs to bytes in the compact protocol and back. Stored records depend on this encoding. */
public final class ThriftBytes {
    private ThriftBytes() {}

    /**
     * Encodes a struct.
     *
     * @param struct struct with all required fields set
     * @return the encoded bytes
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw new IllegalArgumentException("struct cannot be encoded: " + struct, e);
        }
    }

    /**
     * Decodes a struct.
     *
     * @param bytes bytes in the compact protocol
     * @param struct empty struct to fill
     * @param <T> type of the struct
     * @return the filled struct
     * @throws KvCorruptException if the bytes do not encode a struct of this type
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T struct) throws KvCorruptException {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
            return struct;
        } catch (TException e) {
            throw new KvCorruptException(
                    "not a record of type " + struct.getClass().getSimpleName() + ": " + e.getMessage(), e);
        }
    }
}
