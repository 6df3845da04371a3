package io.persimmonstack.node.callers;

import io.persimmonstack.node.BoundedLog;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Dispatcher;
import io.persimmonstack.node.sending.RunnerProtocol;
import io.persimmonstack.node.sending.Sends;
import io.persimmonstack.node.sending.Served;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.runtime.event.EventLog;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Serves one request: reads it, finds its route, dispatches it, and answers by itself where that fails. */
public final class RequestServer {
    private static final BoundedLog LOG = BoundedLog.over(EventLog.of(RequestServer.class));
    private static final long UNKNOWN_FLEET_RETRY_MS = 500;
    private static final double MS_PER_SECOND = 1_000;
    private static final int NOT_RUN = 503;
    private final FleetView fleet;
    private final RunnerProtocol protocol;
    private final Dispatcher dispatcher;
    private final NodeMetrics metrics;
    private final Departure departure;

    private RequestServer(
            FleetView fleet, RunnerProtocol protocol, Dispatcher dispatcher, NodeMetrics metrics, Departure departure) {
        this.departure = departure;
        this.fleet = fleet;
        this.protocol = protocol;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /**
     * Returns a server.
     *
     * @param fleet source of the configuration
     * @param protocol reads requests
     * @param dispatcher sends them to runners
     * @param metrics counts them
     * @param departure says which requests a leaving node still takes
     */
    public static RequestServer of(
            FleetView fleet, RunnerProtocol protocol, Dispatcher dispatcher, NodeMetrics metrics, Departure departure) {
        return new RequestServer(fleet, protocol, dispatcher, metrics, departure);
    }

    /**
     * Serves a request until its caller has the final answer.
     *
     * @param raw request as received
     * @param receivedNanos when it had been received whole
     * @param reply way back to the caller
     */
    public void serve(RawRequest raw, long receivedNanos, Reply reply) {
        RequestTrace trace = new RequestTrace(receivedNanos);
        try {
            CallerRequest caller = protocol.decode(raw);
            trace.caller = caller;
            ActiveRequest request = activate(caller, receivedNanos, trace);
            Served served = dispatcher.serve(request, reply, trace.sends);
            logServed(trace, served);
        } catch (RefusedException e) {
            refuse(trace, e.refusal(), reply);
        } catch (CallerGoneException e) {
            reply.abort();
            metrics.callerLeft();
            LOG.write(
                    NodeEvent.CALLER_LEFT,
                    trace.id(),
                    trace.route(),
                    trace.model(),
                    trace.sends.lastRunner(),
                    trace.sends.count(),
                    trace.ms());
        } catch (RuntimeException e) {
            reply.abort();
            LOG.write(NodeEvent.REQUEST_ERROR, trace.id(), e.toString(), e);
        }
    }

    private ActiveRequest activate(CallerRequest caller, long receivedNanos, RequestTrace trace)
            throws RefusedException {
        RoutingTable routing = fleet.current().routing().orElse(null);
        if (routing == null || !fleet.current().isKnown()) {
            throw new RefusedException(
                    Refusal.notRun("fleet-unknown", "no configuration or runners yet", UNKNOWN_FLEET_RETRY_MS));
        }
        Route route = routing.route(caller.host(), caller.path())
                .orElseThrow(() -> new RefusedException(
                        Refusal.noRoute(caller.host() + caller.path() + " in configuration " + routing.version())));
        trace.route = route;
        if (!departure.takes(route, System.nanoTime())) {
            throw new RefusedException(Refusal.notRun("leaving", "this node is about to end", 0));
        }
        String name = route.service(ThreadLocalRandom.current().nextDouble());
        Service service = routing.service(name)
                .orElseThrow(() ->
                        new RefusedException(Refusal.notRun("no-service", "service " + name, UNKNOWN_FLEET_RETRY_MS)));
        return new ActiveRequest(caller, route, service, receivedNanos);
    }

    private void logServed(RequestTrace trace, Served served) {
        metrics.served(trace.ms(), served.firstMs());
        LOG.write(
                NodeEvent.SERVED,
                trace.id(),
                trace.route(),
                trace.model(),
                trace.sends.lastRunner(),
                trace.sends.count(),
                served.firstMs(),
                trace.ms());
    }

    private void refuse(RequestTrace trace, Refusal refusal, Reply reply) {
        metrics.refused(refusal.reason());
        LOG.write(
                NodeEvent.REFUSED,
                trace.id(),
                trace.route(),
                trace.model(),
                refusal.status(),
                refusal.reason(),
                refusal.retryAfterMs().orElse(-1),
                trace.sends.count(),
                trace.ms(),
                refusal.detail());
        if (reply.begun()) {
            reply.abort();
            return;
        }
        try {
            reply.whole(refusal.status(), headers(trace, refusal), body(refusal));
        } catch (CallerGoneException e) {
            reply.abort();
        }
    }

    private static List<Reply.Header> headers(RequestTrace trace, Refusal refusal) {
        List<Reply.Header> headers = new ArrayList<>();
        headers.add(new Reply.Header("Content-Type", "text/plain"));
        if (refusal.status() == NOT_RUN) {
            double seconds = refusal.retryAfterMs().orElse(0) / MS_PER_SECOND;
            headers.add(new Reply.Header("Retry-After", String.format(Locale.ROOT, "%.2f", seconds)));
        }
        return headers;
    }

    private static byte[] body(Refusal refusal) {
        return (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** What is known of a request when its end is logged. */
    private static final class RequestTrace {
        private final long receivedNanos;
        private final Sends sends = Sends.none();
        private CallerRequest caller;
        private Route route;

        private RequestTrace(long receivedNanos) {
            this.receivedNanos = receivedNanos;
        }

        private String id() {
            return caller == null ? "-" : caller.id();
        }

        private String route() {
            return route == null ? "-" : route.name();
        }

        private String model() {
            return caller == null ? "-" : caller.model().map(Object::toString).orElse("-");
        }

        private long ms() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedNanos);
        }
    }
}
