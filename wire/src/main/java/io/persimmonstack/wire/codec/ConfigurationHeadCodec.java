package io.persimmonstack.wire.codec;

import io.persimmonstack.coordination.feed.ConfigurationHead;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.RecordCodec;
import java.util.List;

/** Codec of the configuration head, the record that identifies the active configuration. */
public final class ConfigurationHeadCodec implements RecordCodec<ConfigurationHead> {
    private ConfigurationHeadCodec() {}

    /** Returns the codec. */
    public static ConfigurationHeadCodec create() {
        return new ConfigurationHeadCodec();
    }

    @Override
    public byte[] encode(ConfigurationHead head) {
        io.persimmonstack.wire.gen.ConfigurationHead struct = new io.persimmonstack.wire.gen.ConfigurationHead(
                head.version(), head.operation(), head.chunks(), head.digest(), head.writtenMs(), head.author());
        struct.setEarlierOperations(head.earlierOperations());
        return ThriftBytes.encode(struct);
    }

    @Override
    public ConfigurationHead decode(byte[] bytes) throws KvCorruptException {
        io.persimmonstack.wire.gen.ConfigurationHead struct =
                ThriftBytes.decode(bytes, new io.persimmonstack.wire.gen.ConfigurationHead());
        return new ConfigurationHead(
                struct.getVersion(),
                struct.getOperation(),
                struct.getChunks(),
                struct.getDigest(),
                struct.getWrittenMs(),
                struct.getAuthor(),
                struct.isSetEarlierOperations() ? struct.getEarlierOperations() : List.of());
    }
}
