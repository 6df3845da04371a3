package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.RequestPriority;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.TokenCount;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Builds waiting requests for tests of their order. */
final class QueuedRequests {
    private Optional<Workspace> workspace = Optional.empty();
    private int routePriority;
    private int targetMs;
    private int tokens = 1_000;
    private long receivedMs;
    private String model = "m";
    private Optional<String> softwareVersion = Optional.empty();
    private Set<String> excluded = Set.of();

    private QueuedRequests() {}

    static QueuedRequests received(long ms) {
        QueuedRequests requests = new QueuedRequests();
        requests.receivedMs = ms;
        return requests;
    }

    /** Returns a workspace with a cap in tokens per second. */
    static Workspace workspace(String name, int priority, double tokensPerSecond) {
        return new Workspace(
                name, priority, Optional.of(new UsageCap(UsageCap.Unit.TOKENS, tokensPerSecond, tokensPerSecond, 200)));
    }

    QueuedRequests of(Workspace owner) {
        workspace = Optional.of(owner);
        return this;
    }

    QueuedRequests onRoute(int priority, int routeTargetMs) {
        routePriority = priority;
        targetMs = routeTargetMs;
        return this;
    }

    QueuedRequests withTokens(int count) {
        tokens = count;
        return this;
    }

    QueuedRequests forModel(String name) {
        model = name;
        return this;
    }

    QueuedRequests atVersion(String version) {
        softwareVersion = Optional.of(version);
        return this;
    }

    QueuedRequests without(String runner) {
        excluded = Set.of(runner);
        return this;
    }

    QueuedRequest build() {
        Route route = new Route(
                "r",
                "host",
                "/p/",
                RouteKind.STREAM,
                true,
                60_000,
                targetMs,
                100,
                routePriority,
                2,
                List.of(new ServiceShare("s", 1)));
        CallerRequest callerRequest = new CallerRequest(
                "id",
                "POST",
                "host",
                "/p/x",
                "/p/x",
                List.of(),
                new byte[0],
                OptionalInt.empty(),
                Optional.of(new ModelRef(model, "")),
                new TokenCount(tokens, 0, 0),
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        ActiveRequest request = new ActiveRequest(
                callerRequest,
                route,
                new Service("s", "/health", 10, Optional.empty()),
                Optional.empty(),
                TimeUnit.MILLISECONDS.toNanos(receivedMs),
                workspace,
                new RequestPriority(workspace.map(Workspace::priority).orElse(0), routePriority, 0));
        return new QueuedRequest(request, new RunnerFilter(excluded, softwareVersion), request.deadlineNanos());
    }
}
