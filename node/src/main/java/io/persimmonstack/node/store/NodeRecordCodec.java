package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.NodeRecord;

/** Stored form of a node. */
public final class NodeRecordCodec {
    private NodeRecordCodec() {}

    /** Returns the stored form of a node. */
    public static byte[] encode(Peer peer) {
        return ThriftBytes.encode(new NodeRecord(
                peer.node(),
                peer.startedMs(),
                peer.zone(),
                peer.callerAddress().toString(),
                peer.linkAddress().toString()));
    }

    /**
     * Reads a node.
     *
     * @param value stored bytes
     * @return the node
     * @throws UnreadableException if the bytes are no node
     */
    public static Peer decode(byte[] value) throws UnreadableException {
        try {
            NodeRecord stored = ThriftBytes.decode(value, new NodeRecord());
            return new Peer(
                    stored.getNode(),
                    stored.getStartedMs(),
                    stored.getZone(),
                    PeerAddress.parse(stored.getCallers()),
                    PeerAddress.parse(stored.getLink()));
        } catch (KvCorruptException | IllegalArgumentException e) {
            throw new UnreadableException("node record: " + e.getMessage(), e);
        }
    }
}
