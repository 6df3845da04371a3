package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.List;

/** How requests of callers are read and sent to runners, and what the answers of runners mean. */
public interface RunnerProtocol {
    /**
     * Reads a request.
     *
     * @param raw request as received
     * @return the request
     * @throws RefusedException if it cannot be understood
     */
    CallerRequest decode(RawRequest raw) throws RefusedException;

    /**
     * Writes a request for a runner.
     *
     * @param request what the caller sent
     * @param options what the node adds
     */
    HttpRequest encode(CallerRequest request, SendOptions options);

    /**
     * Says what the head of an answer means.
     *
     * @param status HTTP status
     * @param headers all headers
     */
    AnswerHead classify(int status, List<HttpHeader> headers);
}
