package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.RequestPriority;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BinaryOperator;

/**
 * Divides the capacity of a service among the workspaces of one priority, by start-time fair queueing. A workspace's
 * position is the time that its placed tokens take at its weight, in seconds; the waiting workspace with the lowest
 * position is next. One that begins to wait starts at the lowest position of those that wait, so that it is neither
 * rewarded for having sent nothing nor charged for what it used while nobody waited. Not thread-safe; guarded by the
 * lock of {@link Placer}.
 */
final class FairShares {
    /** Weight of workspaces without a cap and of requests without a workspace, in tokens per second. */
    static final double DEFAULT_WEIGHT = 10_000;
    /** Tokens that a request counts as if neither it nor the cap of its workspace states any. */
    static final long DEFAULT_REQUEST_TOKENS = 1_000;

    private final Map<Level, Positions> positionsByLevel = new HashMap<>();
    private final Map<String, RequestPriority> leastUrgentByService = new HashMap<>();

    /** Requests among which capacity is divided: priorities are strict, and services have runners of their own. */
    private record Level(String service, int workspacePriority, int routePriority) {
        private static Level of(QueuedRequest queued) {
            return of(queued, queued.rank());
        }

        private static Level of(QueuedRequest queued, RequestPriority priority) {
            return new Level(queued.request().service().name(), priority.workspace(), priority.route());
        }
    }

    /** Position of one workspace and the number of its waiting requests. */
    private static final class Position {
        private double seconds;
        private int waiting;
    }

    /** Positions of the workspaces of a level. */
    private static final class Positions {
        private final Map<String, Position> byWorkspace = new HashMap<>();
        /** Highest position from which a request has been placed. */
        private double reachedSeconds;

        /** Returns the position at which a workspace starts that does not wait yet. */
        private double startSeconds() {
            return byWorkspace.values().stream()
                    .filter(position -> position.waiting > 0)
                    .mapToDouble(position -> position.seconds)
                    .min()
                    .orElse(reachedSeconds);
        }
    }

    /** Returns the name by which the share of a request's workspace is kept, empty for requests without one. */
    static String shareName(ActiveRequest request) {
        return request.workspace().map(Workspace::name).orElse("");
    }

    /** Returns the least urgent priority of all requests for a service so far, the given one included. */
    RequestPriority leastUrgent(ActiveRequest request) {
        return leastUrgentByService.merge(
                request.service().name(), request.priority(), BinaryOperator.maxBy(Comparator.naturalOrder()));
    }

    /** Returns the position of the workspace of a waiting request. */
    double position(QueuedRequest queued) {
        return advanced(Level.of(queued), queued.request()).seconds;
    }

    /** Records that a request begins to wait. */
    void queued(QueuedRequest queued) {
        leastUrgent(queued.request());
        advanced(Level.of(queued), queued.request()).waiting++;
    }

    /** Records that a request waits no longer; to be called after {@link #placed} if it was placed. */
    void dequeued(QueuedRequest queued) {
        advanced(Level.of(queued), queued.request()).waiting--;
    }

    /**
     * Charges the workspace of a request that is placed, whether the request had to wait or not. What a more urgent
     * workspace gets counts at the least urgent level as well, where its requests beyond the usual rate compete: there,
     * it gets no more than others get in all.
     */
    void placed(QueuedRequest queued) {
        ActiveRequest request = queued.request();
        Level own = Level.of(queued);
        charge(own, request);
        Level last = Level.of(queued, leastUrgent(request));
        if (!last.equals(own)) {
            charge(last, request);
        }
    }

    private void charge(Level key, ActiveRequest request) {
        Position position = advanced(key, request);
        Positions level = positionsByLevel.get(key);
        level.reachedSeconds = Math.max(level.reachedSeconds, position.seconds);
        position.seconds += tokens(request) / weight(request.workspace());
    }

    /** Returns the position of a workspace; one that does not wait is moved to where it would start. */
    private Position advanced(Level key, ActiveRequest request) {
        Positions level = positionsByLevel.computeIfAbsent(key, added -> new Positions());
        Position position = level.byWorkspace.computeIfAbsent(shareName(request), name -> new Position());
        if (position.waiting == 0) {
            position.seconds = Math.max(position.seconds, level.startSeconds());
        }
        return position;
    }

    /** Returns the tokens that a request counts. */
    static double tokens(ActiveRequest request) {
        long likely = request.callerRequest().tokens().likelyTotal();
        if (likely > 0) {
            return likely;
        }
        long plain = request.workspace()
                .flatMap(Workspace::cap)
                .map(UsageCap::plainTokens)
                .orElse(0L);
        return plain > 0 ? plain : DEFAULT_REQUEST_TOKENS;
    }

    /** Returns the tokens per second of a cap; a cap in requests counts each as {@link #DEFAULT_REQUEST_TOKENS}. */
    private static double weight(Optional<Workspace> workspace) {
        return workspace
                .flatMap(Workspace::cap)
                .map(cap -> cap.unit() == UsageCap.Unit.TOKENS
                        ? cap.ratePerSecond()
                        : cap.ratePerSecond() * DEFAULT_REQUEST_TOKENS)
                .filter(tokensPerSecond -> tokensPerSecond > 0)
                .orElse(DEFAULT_WEIGHT);
    }
}
