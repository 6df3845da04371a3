package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import java.util.Optional;

/**
 * Checks that the service of a request has the model that it asks for, so that no name that the configuration lacks is
 * counted, waited for or reported to the leader.
 */
final class ModelCheck {
    private ModelCheck() {}

    /** Returns the request as its service takes it: one for a service without models asks for none. */
    static CallerRequest requestFor(Service service, CallerRequest request) {
        return service.engine().isEmpty() && request.model().isPresent() ? request.withoutModel() : request;
    }

    /** Returns whether a service takes a request, which it does not if it has models without the one asked for. */
    static boolean takes(Service service, CallerRequest request) {
        return service.engine().isEmpty() || request.model().map(service::has).orElse(true);
    }

    /** Returns another service of a route that takes a request, empty if there is none. */
    static Optional<Service> otherService(Route route, RoutingTable routing, CallerRequest request) {
        return route.shares().stream()
                .filter(share -> share.weight() > 0)
                .map(ServiceShare::service)
                .flatMap(name -> routing.service(name).stream())
                .filter(service -> takes(service, request))
                .findFirst();
    }

    /** Returns the refusal of a request that its service does not take, empty if it does. */
    static Optional<Refusal> refusal(
            Service service, CallerRequest request, RoutingTable routing, long unconfirmedMs, int applyMs) {
        if (takes(service, request)) {
            return Optional.empty();
        }
        ModelRef model = request.model().orElseThrow();
        return Optional.of(RouteRefusals.noModel(model, service, routing, unconfirmedMs, applyMs));
    }
}
