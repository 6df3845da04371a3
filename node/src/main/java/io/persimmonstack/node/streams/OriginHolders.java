package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.node.fleet.Peer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Chooses which nodes hold the copies of an origin, from the identifier alone, so that every node finds them. */
final class OriginHolders {
    /** Number of nodes that get a copy, besides the node that delivers the stream. */
    static final int COPIES = 2;
    /**
     * Number of nodes that a lookup asks. More than the copies, since the asking node may list a node that others do
     * not, and so many that in a small fleet the node that delivers the stream is asked as well.
     */
    static final int ASKED = 8;

    private OriginHolders() {}

    /**
     * Returns the nodes that rank first for a request.
     *
     * @param request identifier of the request that brought the first event
     * @param peers listed nodes by name
     * @param self name of this node, which is left out
     * @param limit largest number of nodes
     * @return the nodes, most preferred first
     */
    static List<Peer> ranked(String request, Map<String, Peer> peers, String self, int limit) {
        Set<String> others = new HashSet<>(peers.keySet());
        others.remove(self);
        return RendezvousHash.ranked(request, others).stream()
                .limit(limit)
                .map(peers::get)
                .toList();
    }
}
