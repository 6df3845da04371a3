package io.persimmonstack.node.sending;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.PromptPart;
import io.persimmonstack.node.request.TokenCount;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Creates requests for tests. */
public final class Requests {
    private Requests() {}

    /** Returns a request without a model that was received at time 0 and whose time limit is one second. */
    public static ActiveRequest of(RouteKind kind, boolean resumable, int maxAttempts) {
        return of(kind, resumable, maxAttempts, Optional.empty(), 0, 1_000);
    }

    /** Returns a request for a stream from a model whose time limit is one second. */
    public static ActiveRequest forModel(String model, long receivedNanos) {
        return of(RouteKind.STREAM, false, 1, Optional.of(new ModelRef(model, "")), receivedNanos, 1_000);
    }

    /** Returns a request without a model that may run once. */
    public static ActiveRequest received(RouteKind kind, long receivedNanos, int timeLimitMs) {
        return of(kind, false, 1, Optional.empty(), receivedNanos, timeLimitMs);
    }

    /** Returns a request for a stream whose prompt has the given parts and one of its own. */
    public static ActiveRequest withPrompt(String... sharedParts) {
        List<PromptPart> prompt = Stream.concat(Arrays.stream(sharedParts), Stream.of("own"))
                .map(part -> new PromptPart(part, 10))
                .toList();
        return of(RouteKind.STREAM, true, 2, Optional.empty(), prompt, System.nanoTime(), 60_000);
    }

    /** Returns a request for a stream that another runner can resume. */
    static ActiveRequest resumableStream(long receivedNanos, int timeLimitMs) {
        return of(RouteKind.STREAM, true, 2, Optional.empty(), receivedNanos, timeLimitMs);
    }

    private static ActiveRequest of(
            RouteKind kind,
            boolean resumable,
            int maxAttempts,
            Optional<ModelRef> model,
            long receivedNanos,
            int timeLimitMs) {
        return of(kind, resumable, maxAttempts, model, List.of(), receivedNanos, timeLimitMs);
    }

    private static ActiveRequest of(
            RouteKind kind,
            boolean resumable,
            int maxAttempts,
            Optional<ModelRef> model,
            List<PromptPart> prompt,
            long receivedNanos,
            int timeLimitMs) {
        Route route = new Route(
                "r",
                "host",
                "/p/",
                kind,
                resumable,
                10_000,
                200,
                100,
                1,
                maxAttempts,
                List.of(new ServiceShare("s", 1)));
        CallerRequest callerRequest = new CallerRequest(
                "id",
                "POST",
                "host",
                "/p/x",
                "/p/x",
                List.of(),
                new byte[0],
                OptionalInt.of(timeLimitMs),
                model,
                TokenCount.none(),
                prompt,
                OptionalLong.empty(),
                Optional.empty());
        return new ActiveRequest(
                callerRequest,
                route,
                new Service("s", "/health", 10, Optional.empty()),
                Optional.empty(),
                receivedNanos);
    }
}
