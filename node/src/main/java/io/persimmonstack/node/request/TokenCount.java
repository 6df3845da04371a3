package io.persimmonstack.node.request;

/**
 * Size of a generation.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput most tokens of the answer
 * @param likelyOutput caller's estimate of the tokens of the answer
 */
public record TokenCount(int prompt, int maxOutput, int likelyOutput) {
    /** Returns the size of a request that states none. */
    public static TokenCount none() {
        return new TokenCount(0, 0, 0);
    }

    /** Returns the tokens that the request will probably occupy at its end. */
    public long likelyTotal() {
        return (long) prompt + Math.min(maxOutput, likelyOutput);
    }
}
