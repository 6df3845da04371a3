package io.persimmonstack.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.wire.PeerAddress;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FleetViewTest {
    private static Peer peer(String name) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Peer(name, 1, "z", address, address);
    }

    @Test
    void maxPeersSeenCountsPeersThatAreNoLongerListed() {
        FleetView view = FleetView.create();
        view.update(fleet -> fleet.withPeers(Map.of("a", peer("a"), "b", peer("b")), Optional.empty()));
        view.update(fleet -> fleet.withPeers(Map.of("a", peer("a")), Optional.empty()));
        assertEquals(1, view.current().peers().size());
        assertEquals(2, view.maxPeersSeen());
    }
}
