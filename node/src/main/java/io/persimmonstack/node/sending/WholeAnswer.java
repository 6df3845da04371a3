package io.persimmonstack.node.sending;

import io.persimmonstack.router.request.Reply;
import java.util.List;

/**
 * Complete, non-streamed answer of a runner.
 *
 * @param status HTTP status
 * @param headers headers to forward
 * @param body complete body
 */
record WholeAnswer(int status, List<Reply.Header> headers, byte[] body) {
    /** Returns the status and the length of the body, for the log. */
    @Override
    public String toString() {
        return "WholeAnswer[status=" + status + ", bytes=" + body.length + "]";
    }
}
