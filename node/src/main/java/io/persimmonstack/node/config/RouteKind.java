package io.persimmonstack.node.config;

/** What may be repeated of a route's requests, and the form of their answers. */
public enum RouteKind {
    /** Whole answers of idempotent requests. */
    SAFE,
    /** Whole answers of requests that may run once at most. */
    UNSAFE,
    /** Event streams; idempotent only where they may be resumed. */
    STREAM
}
