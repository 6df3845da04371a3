package io.persimmonstack.coordination.crash;

import java.util.List;

/**
 * Prompt of a request that waited for the beginning of its answer.
 *
 * @param parts identifiers of the parts that other requests may have, too, in order
 * @param sentAtMs time at which it was sent by the clock of the node that sent it, in Unix milliseconds
 */
public record WaitingPrompt(List<String> parts, long sentAtMs) {
    /** Copies the parts. */
    public WaitingPrompt {
        parts = List.copyOf(parts);
    }
}
