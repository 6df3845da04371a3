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
    /** Number of nodes that a lookup asks; one more, since the asking node may list a node that others do not. */
    static final int ASKED = COPIES + 1;

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
