package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.coordination.cap.CapShare;
import io.persimmonstack.node.config.UsageCap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Shares of the caps that belong to each slot, computed once for each cap. Thread-safe. */
final class CapShares {
    private final CapSource source;
    private final CapBounds bounds;
    private final Map<String, Known> known = new ConcurrentHashMap<>();

    /** Cap and its share. */
    private record Known(UsageCap cap, CapShare share) {}

    CapShares(CapSource source, CapBounds bounds) {
        this.source = source;
        this.bounds = bounds;
    }

    /** Returns the share of a workspace by the configuration of this node, empty if it has no cap. */
    Optional<CapShare> shareOf(String workspace) {
        Optional<UsageCap> cap = source.capOf(workspace).filter(CapShares::limits);
        if (cap.isEmpty()) {
            known.remove(workspace);
        }
        return cap.map(present -> shareOf(workspace, present));
    }

    /** Returns whether a cap limits anything; a rate of 0 means that there is no limit. */
    static boolean limits(UsageCap cap) {
        return cap.ratePerSecond() > 0;
    }

    /** Returns the share of a workspace with the given cap. */
    CapShare shareOf(String workspace, UsageCap cap) {
        Known present = known.get(workspace);
        if (present == null || !present.cap.equals(cap)) {
            present = new Known(cap, compute(workspace, cap));
            known.put(workspace, present);
        }
        return present.share;
    }

    private CapShare compute(String workspace, UsageCap cap) {
        return switch (cap.unit()) {
            case TOKENS -> CapShare.ofTokens(workspace, cap.ratePerSecond(), cap.burst(), bounds);
            case REQUESTS -> CapShare.ofRequests(workspace, cap.ratePerSecond(), cap.burst(), bounds);
        };
    }
}
