package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.TokenTaker;
import io.persimmonstack.node.request.Refusal;
import java.util.Optional;

/**
 * What is known of the tokens for a request.
 *
 * @param need tokens or requests that it counts
 * @param tokens whether the node has or would get them
 * @param refusal answer to the caller, empty if the request may be admitted
 */
public record CapOutlook(long need, TokenTaker.Outlook tokens, Optional<Refusal> refusal) {}
