package io.persimmonstack.node.callers;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Lists the nodes that a caller may send requests to. */
public final class Directory {
    private static final int MAX_ADDRESSES = 64;
    private final FleetView fleet;

    private Directory(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns a directory of the ready nodes in a fleet view. */
    public static Directory of(FleetView fleet) {
        return new Directory(fleet);
    }

    /**
     * Returns the addresses of ready nodes, those in the caller's zone first, up to a fixed number. The order within
     * the zone and outside it is random, which spreads the callers over the nodes.
     *
     * @param zone availability zone of the caller
     * @param random source of the random order
     */
    public List<PeerAddress> addresses(String zone, Random random) {
        List<Peer> peers = new ArrayList<>(respondingPeers());
        Collections.shuffle(peers, random);
        peers.sort((one, other) ->
                Boolean.compare(other.zone().equals(zone), one.zone().equals(zone)));
        return peers.stream().limit(MAX_ADDRESSES).map(Peer::callerAddress).toList();
    }

    /** Returns the listed nodes without the silent ones, or all listed nodes if every one is silent. */
    private Collection<Peer> respondingPeers() {
        Collection<Peer> listed = fleet.current().peers().values();
        Set<String> silent = fleet.silentNodes();
        List<Peer> respondingPeers =
                listed.stream().filter(peer -> !silent.contains(peer.node())).toList();
        return respondingPeers.isEmpty() ? listed : respondingPeers;
    }
}
