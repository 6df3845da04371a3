package io.persimmonstack.coordination.hash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing: each key is assigned to the node with the highest score for it, so a node
 * that joins or leaves only moves the keys assigned to it.
 *
 * <pre>{@code
 * Optional<String> owner = RendezvousHash.preferred("runner-7", liveNodes);
 * }</pre>
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Returns the node with the highest score for a key.
     *
     * @param key key to assign
     * @param nodes candidate nodes
     * @return the preferred node, or empty if there are no nodes
     */
    public static Optional<String> preferred(String key, Collection<String> nodes) {
        return nodes.stream().max(byScore(key));
    }

    /**
     * Returns the nodes ordered by descending score for a key.
     *
     * @param key key to assign
     * @param nodes nodes to order
     * @return the nodes, most preferred first
     */
    public static List<String> ranked(String key, Collection<String> nodes) {
        long keyHash = hash(key);
        return nodes.stream()
                .map(node -> new ScoredNode(node, score(keyHash, node)))
                .sorted(Comparator.reverseOrder())
                .map(ScoredNode::node)
                .toList();
    }

    /** Node with its score for one key, computed once for all comparisons. */
    private record ScoredNode(String node, long score) implements Comparable<ScoredNode> {
        @Override
        public int compareTo(ScoredNode other) {
            int byScore = Long.compare(score, other.score);
            return byScore == 0 ? node.compareTo(other.node) : byScore;
        }
    }

    /**
     * Returns a uniformly distributed 64-bit hash of a text (FNV-1a over its UTF-16 code units, then a SplitMix64
     * finaliser). The value is the same on every node.
     *
     * @param text text to hash
     * @return the hash
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static Comparator<String> byScore(String key) {
        long keyHash = hash(key);
        return Comparator.<String>comparingLong(node -> score(keyHash, node)).thenComparing(Comparator.naturalOrder());
    }

    private static long score(long keyHash, String node) {
        return mix(keyHash ^ hash(node));
    }

    /** Applies the SplitMix64 finaliser, which spreads every input bit over the whole value. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
