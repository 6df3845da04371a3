package io.persimmonstack.node.request;

/**
 * Token counts of a generation request.
 *
 * @param prompt tokens in the prompt
 * @param maxOutput most tokens that the answer may have
 * @param likelyOutput caller's estimate of the tokens in the answer
 */
public record TokenCount(int prompt, int maxOutput, int likelyOutput) {
    /** Returns the count of a request that states no tokens. */
    public static TokenCount none() {
        return new TokenCount(0, 0, 0);
    }

    /** Returns the estimate of the tokens that the request occupies on a runner when it ends. */
    public long likelyTotal() {
        return (long) prompt + Math.min(maxOutput, likelyOutput);
    }
}
