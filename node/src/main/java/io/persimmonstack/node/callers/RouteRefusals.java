package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;

/** Refusals of requests for which the configuration names no service. */
final class RouteRefusals {
    /** Retry-After while the configuration or the runners are not known yet. */
    static final long RETRY_AFTER_MS = 500;

    private RouteRefusals() {}

    /** Returns the refusal while the configuration or the runners have not been read. */
    static Refusal fleetUnknown() {
        return Refusal.notRun("fleet-unknown", "no configuration or runners yet", RETRY_AFTER_MS);
    }

    /**
     * Returns the refusal of a request without a route. That a route does not exist is claimed only if no newer
     * configuration can be in force that has it.
     *
     * @param request request without a route
     * @param routing configuration without the route
     * @param unconfirmedMs for how long newer configurations may exist, in milliseconds
     * @param applyMs time limit within which a new configuration must take effect, in milliseconds
     */
    static Refusal noRoute(CallerRequest request, RoutingTable routing, long unconfirmedMs, int applyMs) {
        String detail = request.host() + request.path() + " in configuration " + routing.version();
        return unconfirmedMs <= applyMs ? Refusal.noRoute(detail) : Refusal.unconfirmed(detail, unconfirmedMs);
    }

    /**
     * Returns the refusal of a request for a model or an adapter that its service does not have, by the same rule.
     *
     * @param model requested model or adapter
     * @param service service of the request
     * @param routing configuration without the model
     * @param unconfirmedMs for how long newer configurations may exist, in milliseconds
     * @param applyMs time limit within which a new configuration must take effect, in milliseconds
     */
    static Refusal noModel(ModelRef model, Service service, RoutingTable routing, long unconfirmedMs, int applyMs) {
        String detail = model + " of service " + service.name() + " in configuration " + routing.version();
        return unconfirmedMs <= applyMs ? Refusal.noModel(detail) : Refusal.unconfirmed(detail, unconfirmedMs);
    }

    /** Returns the refusal of a request whose route names a service that the configuration lacks. */
    static Refusal noService(String name) {
        return Refusal.notRun("no-service", "service " + name, RETRY_AFTER_MS);
    }

    /** Returns the refusal of a request that a stopping node cannot finish. */
    static Refusal leaving() {
        return Refusal.notRun("leaving", "this node is about to end", 0);
    }
}
