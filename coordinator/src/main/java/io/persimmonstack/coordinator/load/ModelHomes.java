package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which nodes keep the demand of a model, preferred by rendezvous hashing: its home, where it is decided on, and the
 * next one, which is home once the first is gone.
 *
 * @param view state of the fleet
 */
record ModelHomes(FleetView view) {
    private static final int STATISTICS_REPLICAS = 2;

    /** Returns the nodes that keep a model's demand, its home first. */
    List<String> homeAndStandby(LoadKey key) {
        List<String> ranked =
                RendezvousHash.ranked(key.model().model(), view.liveMembers().keySet());
        return ranked.subList(0, Math.min(STATISTICS_REPLICAS, ranked.size()));
    }

    /** Returns the node where a model is decided on, empty while no node is alive. */
    Optional<String> home(LoadKey key) {
        return RendezvousHash.preferred(key.model().model(), view.liveMembers().keySet());
    }

    /** Returns whether this node is home to a model. */
    boolean isHome(LoadKey key) {
        return home(key).filter(self()::equals).isPresent();
    }

    String self() {
        return view.membership().self().node();
    }

    /** Returns the address of a node that is alive. */
    Optional<String> address(String node) {
        Map<String, Member<NodeAttributes>> live = view.liveMembers();
        return Optional.ofNullable(live.get(node)).map(Member::address);
    }
}
