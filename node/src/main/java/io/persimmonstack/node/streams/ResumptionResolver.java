package io.persimmonstack.node.streams;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.Jitter;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Finds out where a stream began that a caller resumes, and refuses what cannot be told. */
public final class ResumptionResolver {
    /** Retry-After of a request whose stream no node that was asked knows; another node may know it. */
    private static final long RETRY_AFTER_MS = 300;
    /** Retry-After of a request whose stream cannot become known any more: its caller had better begin it anew. */
    private static final long LOST_RETRY_AFTER_MS = 30_000;

    private final OriginDirectory origins;
    private final RecentVersions versions;
    private final CurrentVersions currentVersions;

    private ResumptionResolver(OriginDirectory origins, RecentVersions versions, CurrentVersions currentVersions) {
        this.origins = origins;
        this.versions = versions;
        this.currentVersions = currentVersions;
    }

    /**
     * Returns a resolver.
     *
     * @param origins origins of the streams of all nodes
     * @param versions software versions that the services have, or had lately, as this node knows them
     * @param currentVersions the same as the store knows them
     */
    public static ResumptionResolver of(
            OriginDirectory origins, RecentVersions versions, CurrentVersions currentVersions) {
        return new ResumptionResolver(origins, versions, currentVersions);
    }

    /**
     * Returns where the stream began that a request resumes, empty if the request starts anew.
     *
     * @param request request of a caller
     * @param route route that it matched
     * @throws RefusedException if it cannot be told, or if the route does not lead to the service any more
     * @throws InterruptedException if the thread is interrupted, because the caller has disconnected
     */
    public Optional<StreamOrigin> resolve(CallerRequest request, Route route)
            throws RefusedException, InterruptedException {
        boolean resumes =
                request.lastEventId().isPresent() || request.resumedRequest().isPresent();
        if (route.kind() != RouteKind.STREAM || !resumes) {
            return Optional.empty();
        }
        Optional<StreamOrigin> origin = request.resumedRequest().isPresent()
                ? Optional.of(find(request.resumedRequest().get(), route))
                : onlyService(route).flatMap(service -> origin(service, versions.onlyVersion(service, nowNanos())));
        if (origin.isEmpty()) {
            String detail = "no node knows where the stream of an unnamed request began";
            throw new RefusedException(Refusal.notRun("stream-unknown", detail, RETRY_AFTER_MS));
        }
        if (!leadsTo(route, origin.get().service())) {
            String detail = "route " + route.name() + " does not lead to "
                    + origin.get().service() + " any more";
            throw new RefusedException(Refusal.notRun("stream-moved", detail, RETRY_AFTER_MS));
        }
        return origin;
    }

    /** Returns the origin of the stream of a named request: as it was kept, or the only one that it can have. */
    private StreamOrigin find(String request, Route route) throws RefusedException, InterruptedException {
        OriginDirectory.Search search = origins.search(request);
        Optional<StreamOrigin> origin = search.origin().isPresent() ? search.origin() : onlyOrigin(route);
        if (origin.isPresent()) {
            return origin.get();
        }
        String detail = "no node knows where the stream of " + request + " began";
        throw new RefusedException(
                search.allAsked()
                        ? Refusal.notRun("stream-lost", detail, Jitter.spread(LOST_RETRY_AFTER_MS))
                        : Refusal.notRun("stream-unknown", detail, RETRY_AFTER_MS));
    }

    /**
     * Returns the only origin that a stream of a route can have. What this node does not know may exist nevertheless if
     * it was cut off or stood still: so the store has to confirm it after the request came in.
     */
    private Optional<StreamOrigin> onlyOrigin(Route route) throws InterruptedException {
        Optional<StreamOrigin> only =
                onlyService(route).flatMap(service -> origin(service, versions.certainVersion(service, nowNanos())));
        if (only.isEmpty()) {
            return only;
        }
        Optional<Set<StreamOrigin>> current = currentVersions.read();
        boolean confirmed = current.stream()
                .flatMap(Set::stream)
                .allMatch(origin -> !origin.service().equals(only.get().service()) || origin.equals(only.get()));
        return current.isPresent() && confirmed ? only : Optional.empty();
    }

    private static long nowNanos() {
        return System.nanoTime();
    }

    private static Optional<StreamOrigin> origin(String service, Optional<String> version) {
        return version.map(known -> new StreamOrigin(service, known));
    }

    /** Returns the only service that a route leads to, empty if there are several. */
    private static Optional<String> onlyService(Route route) {
        List<String> services = route.shares().stream()
                .filter(share -> share.weight() > 0)
                .map(ServiceShare::service)
                .toList();
        return services.size() == 1 ? Optional.of(services.getFirst()) : Optional.empty();
    }

    private static boolean leadsTo(Route route, String service) {
        return route.shares().stream()
                .anyMatch(share -> share.weight() > 0 && share.service().equals(service));
    }
}
