package io.persimmonstack.coordination.claim;

import io.persimmonstack.coordination.kv.KvException;

/** Result of one flush of a claim shard. */
public sealed interface FlushResult {
    /** There was nothing to write. */
    record Idle() implements FlushResult {}

    /**
     * A segment was written and confirmed.
     *
     * @param number number of the segment
     * @param entries number of entries in the segment
     */
    record Written(long number, int entries) implements FlushResult {}

    /**
     * A call to the key-value service failed; flush again after a backoff.
     *
     * @param cause failure of the call
     */
    record Delayed(KvException cause) implements FlushResult {}
}
