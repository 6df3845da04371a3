package io.persimmonstack.node.callers;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.caps.AdmittedTokens;
import io.persimmonstack.node.caps.CapAdmission;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Delivery;
import io.persimmonstack.node.sending.Dispatcher;
import io.persimmonstack.node.sending.RunnerProtocol;
import io.persimmonstack.node.sending.SendTracker;
import io.persimmonstack.node.streams.ResumptionResolver;
import io.persimmonstack.node.streams.StreamOrigin;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.http.InputRefusal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Serves requests: decodes each one, resolves its route, forwards it to a runner, or answers with a refusal. */
public final class RequestServer {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(RequestServer.class));
    /** Retry-After after an unexpected error. */
    private static final long RETRY_AFTER_MS = 500;

    private static final double MS_PER_SHOWN_DIGIT = 10;
    private static final double SHOWN_DIGITS_PER_SECOND = 100;
    private static final int UNAUTHORIZED = 401;
    private final FleetView fleet;
    private final RunnerProtocol protocol;
    private final Dispatcher dispatcher;
    private final NodeMetrics metrics;
    private final DrainState drainState;
    private final ResumptionResolver resumptions;
    private final WorkspaceCheck workspaces;
    private final int applyMs;
    private final CapAdmission caps;

    private RequestServer(
            FleetView fleet,
            RunnerProtocol protocol,
            Dispatcher dispatcher,
            NodeMetrics metrics,
            DrainState drainState,
            ResumptionResolver resumptions,
            WorkspaceCheck workspaces,
            CapAdmission caps,
            int applyMs) {
        this.caps = caps;
        this.drainState = drainState;
        this.resumptions = resumptions;
        this.workspaces = workspaces;
        this.applyMs = applyMs;
        this.fleet = fleet;
        this.protocol = protocol;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /**
     * Returns a server.
     *
     * @param fleet provides the configuration
     * @param protocol decodes requests
     * @param dispatcher forwards requests to runners
     * @param metrics counts requests by their end
     * @param drainState decides which requests a stopping node still accepts
     * @param resumptions finds out where a stream began that a caller resumes
     * @param workspaces checks the keys of requests
     * @param caps admits requests of workspaces within their usage caps
     * @param applyMs time limit within which a new configuration must take effect, in milliseconds
     */
    public static RequestServer of(
            FleetView fleet,
            RunnerProtocol protocol,
            Dispatcher dispatcher,
            NodeMetrics metrics,
            DrainState drainState,
            ResumptionResolver resumptions,
            WorkspaceCheck workspaces,
            CapAdmission caps,
            int applyMs) {
        return new RequestServer(
                fleet, protocol, dispatcher, metrics, drainState, resumptions, workspaces, caps, applyMs);
    }

    /**
     * Serves a request until its caller has the final answer or has disconnected, and logs how it ended.
     *
     * @param rawRequest request as received
     * @param receivedNanos monotonic time at which it was received completely
     * @param reply sends the answer to the caller
     */
    public void serve(RawRequest rawRequest, long receivedNanos, Reply reply) {
        RequestSummary summary = new RequestSummary(receivedNanos);
        try {
            CallerRequest callerRequest = protocol.decode(rawRequest);
            summary.callerRequest = callerRequest;
            ActiveRequest request = resolve(callerRequest, receivedNanos, summary);
            Delivery delivery = dispatch(request, reply, summary.sends);
            logServed(summary, delivery);
        } catch (RefusedException e) {
            refuse(summary, e.refusal(), reply);
        } catch (CallerGoneException e) {
            if (drainState.isEnding() && !reply.begun()) {
                refuseAtEnd(summary, reply);
                return;
            }
            reply.abort();
            recordCallerLeft(summary);
        } catch (RuntimeException e) {
            LOG.write(NodeEvent.REQUEST_ERROR, summary.id(), e.toString(), e);
            refuse(summary, refusalAfterError(summary), reply);
        }
    }

    /** Returns the memory that a request takes once it is decoded, beyond its text and its body, in bytes. */
    long decodedBytes(RawRequest raw) {
        return protocol.decodedBytes(raw);
    }

    /** Counts a request for its workspace and forwards it; one that did not run is not counted. */
    private Delivery dispatch(ActiveRequest request, Reply reply, SendTracker sends)
            throws RefusedException, CallerGoneException {
        AdmittedTokens tokens = caps.admit(
                request.workspace(), request.callerRequest(), request.route().targetLatencyMs());
        try {
            return dispatcher.serve(request, reply, sends);
        } catch (RefusedException e) {
            if (e.refusal().neverRuns()) {
                tokens.giveBack();
            }
            throw e;
        } catch (CallerGoneException | RuntimeException e) {
            if (sends.count() == 0) {
                tokens.giveBack();
            }
            throw e;
        }
    }

    /** Records a request whose caller had left by the time it was received. */
    void callerLeftEarly() {
        recordCallerLeft(new RequestSummary(System.nanoTime()));
    }

    /** Records input that was refused before it was a whole request. */
    void refusedInput(InputRefusal refusal) {
        metrics.recordInputRefused(refusal.reason());
        LOG.write(NodeEvent.INPUT_REFUSED, refusal.reason(), refusal.status());
    }

    /** Answers a request that was interrupted since the process ends. */
    private void refuseAtEnd(RequestSummary summary, Reply reply) {
        // An interrupted thread could not write the answer.
        Thread.interrupted();
        String detail = "this node ends before the answer";
        refuse(
                summary,
                summary.sends.count() == 0 ? Refusal.notRun("leaving", detail, 0) : Refusal.outcomeUnknown(detail),
                reply);
    }

    /** Returns the answer to a request that cannot be served because of an unexpected error. */
    private static Refusal refusalAfterError(RequestSummary summary) {
        String detail = "unexpected error";
        return summary.sends.count() == 0
                ? Refusal.notRun("internal-error", detail, RETRY_AFTER_MS)
                : Refusal.outcomeUnknown(detail);
    }

    /** Resolves the route and the service of a request. */
    private ActiveRequest resolve(CallerRequest callerRequest, long receivedNanos, RequestSummary summary)
            throws RefusedException, CallerGoneException {
        Fleet current = fleet.current();
        RoutingTable routing = current.routing().orElse(null);
        if (routing == null || !current.isInitialised()) {
            throw new RefusedException(RouteRefusals.fleetUnknown());
        }
        Route route = routing.route(callerRequest.host(), callerRequest.path())
                .orElseThrow(() -> new RefusedException(RouteRefusals.noRoute(
                        callerRequest, routing, fleet.routingUnconfirmedMs(System.nanoTime()), applyMs)));
        summary.route = route;
        WorkspaceCheck.Checked checked = workspaces.check(callerRequest, route, routing, System.nanoTime());
        Optional<StreamOrigin> origin = origin(checked.callerRequest(), route);
        Service service = service(checked.callerRequest(), origin, route, routing);
        ActiveRequest request = new ActiveRequest(
                ModelCheck.requestFor(service, checked.callerRequest()),
                route,
                service,
                origin,
                receivedNanos,
                checked.workspace(),
                routing.priority(checked.workspace(), route));
        if (!drainState.accepts(request, System.nanoTime())) {
            throw new RefusedException(RouteRefusals.leaving());
        }
        return request;
    }

    /** Returns the service of a request: where its stream began, or one by the shares of the route. */
    private Service service(
            CallerRequest callerRequest, Optional<StreamOrigin> origin, Route route, RoutingTable routing)
            throws RefusedException {
        String name = origin.map(StreamOrigin::service)
                .orElseGet(() -> route.pickService(ThreadLocalRandom.current().nextDouble()));
        Service picked = routing.service(name).orElseThrow(() -> new RefusedException(RouteRefusals.noService(name)));
        if (ModelCheck.takes(picked, callerRequest)) {
            return picked;
        }
        Optional<Service> other =
                origin.isPresent() ? Optional.empty() : ModelCheck.otherService(route, routing, callerRequest);
        if (other.isPresent()) {
            return other.get();
        }
        throw new RefusedException(ModelCheck.refusal(
                        picked, callerRequest, routing, fleet.routingUnconfirmedMs(System.nanoTime()), applyMs)
                .orElseThrow());
    }

    /** Returns where the stream began that a request resumes, empty if it starts anew. */
    private Optional<StreamOrigin> origin(CallerRequest callerRequest, Route route)
            throws RefusedException, CallerGoneException {
        try {
            Optional<StreamOrigin> origin = resumptions.resolve(callerRequest, route);
            origin.ifPresent(known -> LOG.write(
                    NodeEvent.STREAM_RESUMED,
                    callerRequest.id(),
                    callerRequest.resumedRequest().orElse("-"),
                    callerRequest.lastEventId().orElse(0),
                    known.service(),
                    known.softwareVersion()));
            return origin;
        } catch (InterruptedException e) {
            throw new CallerGoneException("the caller has left while the origin of its stream was looked up", e);
        }
    }

    private void recordCallerLeft(RequestSummary summary) {
        metrics.recordCallerLeft();
        LOG.write(
                NodeEvent.CALLER_LEFT,
                summary.id(),
                summary.route(),
                summary.model(),
                summary.sends.lastRunner(),
                summary.sends.lastVersion(),
                summary.sends.count(),
                summary.elapsedMs());
    }

    private void logServed(RequestSummary summary, Delivery delivery) {
        metrics.recordServed(summary.elapsedMs(), delivery.firstEventMs());
        LOG.write(
                NodeEvent.SERVED,
                summary.id(),
                summary.route(),
                summary.model(),
                summary.sends.lastRunner(),
                summary.sends.lastVersion(),
                summary.sends.count(),
                delivery.firstEventMs(),
                summary.elapsedMs(),
                summary.callerRequest.loggedParts());
    }

    private void refuse(RequestSummary summary, Refusal refusal, Reply reply) {
        metrics.recordRefused(refusal.reason());
        LOG.write(
                NodeEvent.REFUSED,
                summary.id(),
                summary.route(),
                summary.model(),
                refusal.status(),
                refusal.reason(),
                refusal.retryAfterMs().orElse(-1),
                summary.sends.count(),
                summary.elapsedMs(),
                refusal.detail());
        if (reply.begun()) {
            reply.abort();
            return;
        }
        try {
            reply.whole(refusal.status(), refusalHeaders(summary, refusal), refusalBody(refusal));
        } catch (CallerGoneException e) {
            reply.abort();
        }
    }

    private static List<Reply.Header> refusalHeaders(RequestSummary summary, Refusal refusal) {
        List<Reply.Header> headers = new ArrayList<>();
        headers.add(new Reply.Header("Content-Type", "text/plain"));
        if (refusal.retryAfterMs().isPresent()) {
            // Rounded up: a caller that comes back too early is refused again.
            double seconds =
                    Math.ceil(refusal.retryAfterMs().getAsLong() / MS_PER_SHOWN_DIGIT) / SHOWN_DIGITS_PER_SECOND;
            headers.add(new Reply.Header("Retry-After", String.format(Locale.ROOT, "%.2f", seconds)));
        }
        if (refusal.status() == UNAUTHORIZED) {
            headers.add(new Reply.Header("WWW-Authenticate", "Bearer"));
        }
        return headers;
    }

    private static byte[] refusalBody(Refusal refusal) {
        return (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Collects what is logged about a request at its end. */
    private static final class RequestSummary {
        private final long receivedNanos;
        private final SendTracker sends = SendTracker.create();
        private CallerRequest callerRequest;
        private Route route;

        private RequestSummary(long receivedNanos) {
            this.receivedNanos = receivedNanos;
        }

        private String id() {
            return callerRequest == null ? "-" : callerRequest.id();
        }

        private String route() {
            return route == null ? "-" : route.name();
        }

        private String model() {
            return callerRequest == null
                    ? "-"
                    : callerRequest.model().map(Object::toString).orElse("-");
        }

        private long elapsedMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedNanos);
        }
    }
}
