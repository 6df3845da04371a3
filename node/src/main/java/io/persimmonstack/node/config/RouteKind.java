package io.persimmonstack.node.config;

/** Form of the answers of a route, and whether its requests are idempotent. */
public enum RouteKind {
    /** Idempotent requests with a complete, non-streamed answer. */
    SAFE,
    /** Requests that may run at most once, with a complete, non-streamed answer. */
    UNSAFE,
    /** Requests answered by an event stream; idempotent only if the route is resumable. */
    STREAM
}
