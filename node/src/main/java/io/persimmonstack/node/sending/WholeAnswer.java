package io.persimmonstack.node.sending;

import io.persimmonstack.router.request.Reply;
import java.util.List;

/**
 * Answer of a runner, received whole.
 *
 * @param status HTTP status
 * @param headers headers to hand on
 * @param body whole body
 */
record WholeAnswer(int status, List<Reply.Header> headers, byte[] body) {}
