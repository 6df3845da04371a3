package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.PresentedKey;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.List;
import java.util.Optional;

/** HTTP conventions between callers, nodes and runners. */
public interface RunnerProtocol {
    /**
     * Returns the memory that {@link #decode} takes for what a request lists in its headers, beyond the text of the
     * headers, in bytes. To be reserved before the request is decoded.
     */
    long decodedBytes(RawRequest raw);

    /**
     * Decodes a request of a caller.
     *
     * @param raw request as received
     * @return the decoded request
     * @throws RefusedException if a header is missing or malformed
     */
    CallerRequest decode(RawRequest raw) throws RefusedException;

    /** Reads the key of a workspace that a request presents. */
    PresentedKey presentedKey(CallerRequest request);

    /**
     * Returns a request without its key and with the name of its workspace, whatever name the caller stated.
     *
     * @param request request as the caller sent it
     * @param workspace name of the workspace, empty if it has none
     */
    CallerRequest withWorkspace(CallerRequest request, Optional<String> workspace);

    /**
     * Encodes a request for a runner.
     *
     * @param request request as the caller sent it
     * @param options values that the node adds
     */
    HttpRequest encode(CallerRequest request, SendOptions options);

    /**
     * Classifies an answer of a runner.
     *
     * @param status HTTP status
     * @param headers all headers
     */
    AnswerHead classify(int status, List<HttpHeader> headers);

    /**
     * Reads what a runner says about itself in an answer.
     *
     * @param status HTTP status
     * @param headers all headers
     */
    RunnerNotice notice(int status, List<HttpHeader> headers);
}
