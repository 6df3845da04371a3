package io.persimmonstack.router.request;

/** Reasons for refusals, each with the HTTP status, code and title that callers see. */
public enum RefusalCode {
    /** The request is not valid HTTP or JSON of the expected form. */
    MALFORMED(400, "Malformed request"),
    /** The bearer key is missing or unknown. */
    NOT_IDENTIFIED(401, "Caller not identified"),
    /** The caller may not use the deployment or service. */
    NOT_AUTHORISED(403, "Caller not authorised"),
    /** The path is not served. */
    UNKNOWN_PATH(404, "Unknown path"),
    /** No deployment serves the model. */
    UNKNOWN_MODEL(404, "Unknown model"),
    /** No policy is configured for the service. */
    UNKNOWN_SERVICE(404, "Unknown service"),
    /** The idempotency key is claimed by an earlier request whose outcome is not known. */
    ALREADY_CLAIMED(409, "Idempotency key in use"),
    /** An earlier request with the idempotency key was answered; its answer was too large to keep. */
    ALREADY_DONE(409, "Idempotency key used, answer not kept"),
    /** The body exceeds the limit. */
    BODY_TOO_LARGE(413, "Body too large"),
    /** The idempotency key was used for a different request. */
    KEY_REUSED(422, "Idempotency key used for another request"),
    /** Too many requests are waiting. */
    OVERLOADED(503, "Overloaded"),
    /** The deadline passed before the request was sent, or is predicted to pass before it is answered. */
    DEADLINE(503, "Deadline cannot be met"),
    /** All replica slots of the model are held by runners that cannot load it. */
    REPLICA_CAP(503, "Replica cap reached"),
    /** No runner can free enough accelerator memory for the model in time. */
    NO_MEMORY(503, "No accelerator memory free"),
    /** The owner of the runner, the coordinator that controls it, is being replaced. */
    OWNER_CHANGING(503, "Owner of the runner changing"),
    /** The key-value service is needed but did not answer. */
    KV_UNAVAILABLE(503, "Key-value service unavailable"),
    /** The weight store cannot deliver the weights of the model in time. */
    WEIGHT_STORE(503, "Weight store too slow"),
    /** The load of the model failed. */
    LOAD_FAILED(503, "Load failed"),
    /** No coordinator answered. */
    NO_COORDINATOR(503, "No coordinator"),
    /** No target can take the request. */
    NO_TARGET(503, "No target"),
    /** Runners end under requests with a part of the prompt. */
    PROMPT_BLOCKED(503, "Prompt ends runners"),
    /** The router has not received a snapshot of the fleet yet. */
    STARTING(503, "Router starting"),
    /** An unexpected error occurred in the router. */
    INTERNAL(500, "Internal error"),
    /** Every attempt failed before the answer was complete. */
    TARGET_FAILED(502, "Target failed"),
    /** The deadline passed while the request ran. */
    TIMED_OUT(504, "Timed out"),
    /** A request that is not idempotent was sent, and its outcome is not known. */
    OUTCOME_UNKNOWN(502, "Outcome unknown"),
    /** A request that is not idempotent was sent, and the deadline passed before its answer arrived. */
    OUTCOME_LATE(504, "outcome-unknown", "Outcome unknown");

    private final int status;
    private final String code;
    private final String title;

    RefusalCode(int status, String title) {
        this.status = status;
        this.code = name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        this.title = title;
    }

    RefusalCode(int status, String code, String title) {
        this.status = status;
        this.code = code;
        this.title = title;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the code of the problem document. */
    public String code() {
        return code;
    }

    /** Returns the title of the problem document. */
    public String title() {
        return title;
    }
}
