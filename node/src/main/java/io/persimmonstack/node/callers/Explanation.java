package io.persimmonstack.node.callers;

import io.persimmonstack.node.caps.CapOutlook;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.placing.PlacementOutlook;
import io.persimmonstack.node.request.Refusal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Where a request would go now, from the view of one node.
 *
 * @param view what the node knows, and its age
 * @param route route of the request
 * @param workspace workspace that was asked for
 * @param cap what is known of its tokens; empty without a cap
 * @param refusal answer to the caller before a runner is chosen, whatever the service
 * @param services services of the route
 */
public record Explanation(
        View view,
        Optional<Route> route,
        Optional<Workspace> workspace,
        Optional<CapOutlook> cap,
        Optional<Refusal> refusal,
        List<ServiceOutlook> services) {
    /** Copies the list. */
    public Explanation {
        services = List.copyOf(services);
    }

    static Explanation refused(View view, Optional<Route> route, Refusal refusal) {
        return new Explanation(view, route, Optional.empty(), Optional.empty(), Optional.of(refusal), List.of());
    }

    /**
     * What a node knows. Ages are in milliseconds.
     *
     * @param node name of the node
     * @param zone its availability zone
     * @param configuration version of the configuration, empty if none has been read
     * @param configurationAgeMs for how long newer configurations may be in the store, empty if none has been read
     * @param runnersAgeMs for how long the runners may have changed in the store, empty if they have not been read
     * @param leader name of the leader, empty if none is known
     * @param leaderAgeMs age of the last answer of a leader, empty if none has answered
     */
    public record View(
            String node,
            String zone,
            OptionalLong configuration,
            OptionalLong configurationAgeMs,
            OptionalLong runnersAgeMs,
            Optional<String> leader,
            OptionalLong leaderAgeMs) {}

    /**
     * Where the request would go if this service is drawn.
     *
     * @param service name of the service
     * @param weight its weight among the services of the route
     * @param placement runners and choice; empty if the configuration lacks the service
     * @param refusal answer to the caller before a runner is chosen
     * @param expectedLoadMs time until the model can be loaded, in milliseconds; empty if it is loaded or not known
     */
    public record ServiceOutlook(
            String service,
            double weight,
            Optional<PlacementOutlook> placement,
            Optional<Refusal> refusal,
            OptionalLong expectedLoadMs) {}
}
