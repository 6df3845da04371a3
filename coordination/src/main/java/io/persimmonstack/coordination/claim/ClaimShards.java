package io.persimmonstack.coordination.claim;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.Collection;
import java.util.Optional;

/**
 * Mapping of idempotency keys to shards of the claim log. All nodes must use the same number of shards, and the number
 * must not change while claims are retained.
 *
 * @param count number of shards
 */
public record ClaimShards(int count) {
    /**
     * Validates the number of shards.
     *
     * @throws IllegalArgumentException if there is no shard
     */
    public ClaimShards {
        if (count < 1) {
            throw new IllegalArgumentException("count " + count + ": expected at least 1");
        }
    }

    /** Returns a mapping to {@code count} shards. */
    public static ClaimShards of(int count) {
        return new ClaimShards(count);
    }

    /** Returns the number of the shard that a key belongs to, from 0. */
    public int shardOf(String key) {
        return (int) Long.remainderUnsigned(RendezvousHash.hash(key), count);
    }

    /**
     * Returns the node that should write a shard. Any node may write it, but using the preferred node avoids write
     * conflicts.
     *
     * @param shard number of the shard
     * @param nodes live nodes
     * @return the preferred node, or empty if there are no nodes
     */
    public Optional<String> preferredNode(int shard, Collection<String> nodes) {
        return RendezvousHash.preferred("claim-shard-" + shard, nodes);
    }
}
