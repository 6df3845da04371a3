package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.NodeRecord;

/** Converts nodes to and from the record that the store keeps for them. */
public final class NodeRecordCodec {
    private NodeRecordCodec() {}

    /** Returns the stored record of a node. */
    public static byte[] encode(Peer peer) {
        return ThriftBytes.encode(new NodeRecord(
                peer.node(),
                peer.startedMs(),
                peer.zone(),
                peer.callerAddress().toString(),
                peer.linkAddress().toString()));
    }

    /**
     * Decodes a node.
     *
     * @param value stored bytes
     * @return the node
     * @throws UnreadableException if the bytes are not a valid record
     */
    public static Peer decode(byte[] value) throws UnreadableException {
        try {
            NodeRecord stored = ThriftBytes.decode(value, new NodeRecord());
            return new Peer(
                    stored.getNode(),
                    stored.getStartedMs(),
                    stored.getZone(),
                    PeerAddress.parseConnectable(stored.getCallers()),
                    PeerAddress.parseConnectable(stored.getLink()));
        } catch (KvCorruptException | IllegalArgumentException e) {
            throw new UnreadableException("node record: " + e.getMessage(), e);
        }
    }
}
