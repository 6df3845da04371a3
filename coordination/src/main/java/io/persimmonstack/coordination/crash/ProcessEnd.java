package io.persimmonstack.coordination.crash;

import java.util.List;

/**
 * End of a runner process while requests waited there for the beginning of their answers. One of them may have caused
 * it.
 *
 * @param process name of the process, which no other process has
 * @param endedAtMs time of the end by the clock of a node that observed it, in Unix milliseconds
 * @param prompts prompts of the waiting requests
 */
public record ProcessEnd(String process, long endedAtMs, List<WaitingPrompt> prompts) {
    /** Copies the prompts. */
    public ProcessEnd {
        prompts = List.copyOf(prompts);
    }
}
