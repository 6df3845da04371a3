package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.NodeStreamsRecord;
import io.persimmonstack.wire.gen.VersionStreamsRecord;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Converts what a node leaves about its streams to and from the record in the store. */
final class StreamRecordCodec {
    private StreamRecordCodec() {}

    static byte[] encode(List<VersionStreams> versions) {
        return ThriftBytes.encode(new NodeStreamsRecord(
                versions.stream().map(StreamRecordCodec::toRecord).toList()));
    }

    private static VersionStreamsRecord toRecord(VersionStreams version) {
        ByteBuffer keys = ByteBuffer.allocate(Long.BYTES * version.streams().size());
        version.streams().forEach(keys::putLong);
        return new VersionStreamsRecord(
                version.origin().service(), version.origin().softwareVersion(), keys.flip());
    }

    static List<VersionStreams> decode(byte[] value) throws KvCorruptException {
        return ThriftBytes.decode(value, new NodeStreamsRecord()).getVersions().stream()
                .map(StreamRecordCodec::fromRecord)
                .toList();
    }

    private static VersionStreams fromRecord(VersionStreamsRecord record) {
        ByteBuffer keys = ByteBuffer.wrap(record.getStreams());
        List<Long> streams = new ArrayList<>();
        while (keys.remaining() >= Long.BYTES) {
            streams.add(keys.getLong());
        }
        return new VersionStreams(new StreamOrigin(record.getServiceName(), record.getSoftwareVersion()), streams);
    }
}
