package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Nodes for tests. */
final class Peers {
    private Peers() {}

    static Peer peer(String node, long startedMs) {
        return peer(node, startedMs, 1);
    }

    static Peer peer(String node, long startedMs, int linkPort) {
        PeerAddress address = new PeerAddress("127.0.0.1", linkPort);
        return new Peer(node, startedMs, "z", address, address);
    }

    static Map<String, Peer> byName(Peer... peers) {
        return byName(Arrays.asList(peers));
    }

    static Map<String, Peer> byName(List<Peer> peers) {
        return peers.stream().collect(Collectors.toMap(Peer::node, Function.identity()));
    }

    /** Returns nodes named n0, n1 and so on. */
    static Map<String, Peer> numbered(int count) {
        return byName(IntStream.range(0, count).mapToObj(i -> peer("n" + i, 1)).toList());
    }

    static Map<String, Peer> without(Map<String, Peer> peers, Peer left) {
        return byName(peers.values().stream().filter(peer -> !peer.equals(left)).toList());
    }

    static Map<String, Peer> with(Map<String, Peer> peers, Peer joined) {
        return byName(Stream.concat(without(peers, peers.get(joined.node())).values().stream(), Stream.of(joined))
                .toList());
    }
}
