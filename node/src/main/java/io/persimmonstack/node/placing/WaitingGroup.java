package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.RequestPriority;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Waiting requests that the same runners can serve: one service, model and runner filter. They differ only in the
 * memory that they need and in their order.
 */
final class WaitingGroup {
    private final Map<LaneKey, WaitingLane> lanes = new HashMap<>();

    /** Service and model, empty for services without models, that a runner must have. */
    record Target(String service, ModelRef model) {
        private static final ModelRef NO_MODEL = new ModelRef("", "");

        static Target of(ActiveRequest request) {
            return new Target(
                    request.service().name(), request.callerRequest().model().orElse(NO_MODEL));
        }

        /** Returns what a runner of a service can serve that holds the given models. */
        static List<Target> served(String service, List<HeldModel> models) {
            List<Target> targets = new ArrayList<>();
            targets.add(new Target(service, NO_MODEL));
            for (HeldModel held : models) {
                targets.add(new Target(service, new ModelRef(held.name(), "")));
                held.adapters()
                        .forEach(adapter -> targets.add(new Target(service, new ModelRef(held.name(), adapter))));
            }
            return targets;
        }
    }

    private record LaneKey(RequestPriority priority, boolean isNew, String workspace) {
        private static LaneKey of(QueuedRequest queued) {
            ActiveRequest request = queued.request();
            return new LaneKey(queued.rank(), queued.isNew(), FairShares.shareName(request));
        }
    }

    /**
     * First request of a group and its rank: priority, the rest of streams before new requests, on time before late,
     * position of the workspace, age.
     *
     * @param queued the request
     * @param late whether it cannot be on time any more
     * @param position position of its workspace in {@link FairShares}
     */
    record Head(QueuedRequest queued, boolean late, double position) implements Comparable<Head> {
        private static final Comparator<Head> ORDER = Comparator.comparing((Head head) -> head.queued.rank())
                .thenComparing(head -> head.queued.isNew())
                .thenComparing(Head::late)
                .thenComparingDouble(Head::position)
                .thenComparingLong(head -> head.queued.request().receivedNanos())
                .thenComparingLong(head -> head.queued.sequence());

        @Override
        public int compareTo(Head other) {
            return ORDER.compare(this, other);
        }
    }

    void add(QueuedRequest queued) {
        lanes.computeIfAbsent(LaneKey.of(queued), key -> new WaitingLane()).add(queued);
    }

    void remove(QueuedRequest queued) {
        WaitingLane lane = lanes.get(LaneKey.of(queued));
        if (lane == null) {
            return;
        }
        lane.remove(queued);
        if (lane.isEmpty()) {
            lanes.remove(LaneKey.of(queued));
        }
    }

    boolean isEmpty() {
        return lanes.isEmpty();
    }

    /** Returns the number of lanes, by which the cost of {@link #head} grows. */
    int laneCount() {
        return lanes.size();
    }

    /** Returns the first request, empty if there is none. */
    Optional<Head> head(FairShares shares, long nowNanos) {
        return lanes.values().stream()
                .flatMap(lane -> lane.first(nowNanos).stream())
                .map(queued -> new Head(queued, queued.isLate(nowNanos), shares.position(queued)))
                .min(Comparator.naturalOrder());
    }
}
