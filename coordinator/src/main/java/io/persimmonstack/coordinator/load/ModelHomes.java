package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns each model to two nodes by rendezvous hashing over the live members: its home, which plans its loads and
 * keeps its demand statistics, and a standby, which keeps a copy of them and becomes home when the home is gone.
 *
 * @param view state of the fleet
 */
record ModelHomes(FleetView view) {
    private static final int STATISTICS_REPLICAS = 2;

    /** Returns the home of a model, then its standby; fewer where fewer nodes are alive. */
    List<String> homeAndStandby(LoadKey key) {
        List<String> ranked =
                RendezvousHash.ranked(key.model().model(), view.liveMembers().keySet());
        return ranked.subList(0, Math.min(STATISTICS_REPLICAS, ranked.size()));
    }

    /** Returns the home of a model, or empty while no node is alive. */
    Optional<String> home(LoadKey key) {
        return RendezvousHash.preferred(key.model().model(), view.liveMembers().keySet());
    }

    /** Returns whether this node is the home of a model. */
    boolean isHome(LoadKey key) {
        return home(key).filter(self()::equals).isPresent();
    }

    /** Returns the name of this node. */
    String self() {
        return view.membership().self().node();
    }

    /** Returns the coordinator address of a node, or empty if the node is not alive. */
    Optional<String> address(String node) {
        Map<String, Member<NodeAttributes>> live = view.liveMembers();
        return Optional.ofNullable(live.get(node)).map(Member::address);
    }
}
