package io.persimmonstack.node.request;

import java.util.OptionalLong;

/**
 * Answer that the node gives itself, in place of an answer of a runner.
 *
 * @param status HTTP status; 503 only if no runner has run the request and none will
 * @param reason cause, one word for logs and metrics
 * @param detail explanation for the log
 * @param retryAfterMs delay after which the caller may retry, in milliseconds
 */
public record Refusal(int status, String reason, String detail, OptionalLong retryAfterMs) {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Retry-After while the configuration is not confirmed, in milliseconds. */
    private static final long UNCONFIRMED_RETRY_MS = 500;

    /** Returns the refusal of a request that cannot be decoded. */
    public static Refusal malformed(String detail) {
        return new Refusal(BAD_REQUEST, "malformed", detail, OptionalLong.empty());
    }

    /** Returns the refusal of a request without a key of a workspace where one is required. */
    public static Refusal unauthorized(String reason, String detail) {
        return new Refusal(UNAUTHORIZED, reason, detail, OptionalLong.empty());
    }

    /** Returns the refusal of a request beyond the cap of its workspace, which has not run and will not run. */
    public static Refusal overCap(String detail, long retryAfterMs) {
        return new Refusal(TOO_MANY_REQUESTS, "over-cap", detail, OptionalLong.of(retryAfterMs));
    }

    /** Returns the refusal of a request that matches no route. */
    public static Refusal noRoute(String detail) {
        return new Refusal(NOT_FOUND, "no-route", detail, OptionalLong.empty());
    }

    /** Returns the refusal of a request for a model or an adapter that its service does not have. */
    public static Refusal noModel(String detail) {
        return new Refusal(NOT_FOUND, "no-model", detail, OptionalLong.empty());
    }

    /** Returns the refusal of a request that has not run and will not run, so that the caller may retry it safely. */
    public static Refusal notRun(String reason, String detail, long retryAfterMs) {
        return new Refusal(SERVICE_UNAVAILABLE, reason, detail, OptionalLong.of(retryAfterMs));
    }

    /**
     * Returns the refusal of a request for which a newer configuration may hold than the one that this node has.
     *
     * @param detail what the node's version does not have
     * @param unconfirmedMs time since the version was last confirmed, in milliseconds
     */
    public static Refusal unconfirmed(String detail, long unconfirmedMs) {
        return notRun("configuration-unconfirmed", detail + ", " + unconfirmedMs + " ms old", UNCONFIRMED_RETRY_MS);
    }

    /** Returns whether no runner has run the request and none will. */
    public boolean neverRuns() {
        return status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
    }

    /** Returns the answer to a request that may have run but whose answer was lost. */
    public static Refusal outcomeUnknown(String detail) {
        return new Refusal(BAD_GATEWAY, "outcome-unknown", detail, OptionalLong.empty());
    }

    /** Returns the answer to a request that may have run but whose answer did not arrive before the deadline. */
    public static Refusal timeout(String detail) {
        return new Refusal(GATEWAY_TIMEOUT, "timeout", detail, OptionalLong.empty());
    }
}
