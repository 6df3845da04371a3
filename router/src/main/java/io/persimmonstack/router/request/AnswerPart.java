package io.persimmonstack.router.request;

/** Part of a target's answer that a request waits for. */
public enum AnswerPart {
    /** Status and headers. */
    HEAD,
    /** First token of an event stream. */
    FIRST_TOKEN,
    /** More of the body. */
    BODY,
    /** End of the body of a stream whose last event has arrived. */
    END
}
