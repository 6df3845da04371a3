package io.persimmonstack.coordination.cap;

/**
 * Tokens that were taken from a slot.
 *
 * @param holder process and assignment that gave them
 * @param slot slot that they were taken from
 * @param stamp names the grant at the holder
 * @param tokens how many
 */
public record TokenBatch(SlotHolder holder, int slot, long stamp, long tokens) {
    /** Returns a part of the batch, or more of it. */
    public TokenBatch withTokens(long count) {
        return new TokenBatch(holder, slot, stamp, count);
    }
}
