package io.persimmonstack.coordination.feed;

import java.util.List;

/**
 * Record that identifies the active configuration and locates its chunks.
 *
 * @param version version number, incremented by each commit
 * @param operation identifier of the operation that committed this version
 * @param chunks number of chunks that the content is split into
 * @param digest SHA-256 digest of the content, in hexadecimal
 * @param writtenMs wall-clock time of the commit, in milliseconds since 1970-01-01 UTC
 * @param author author of the commit
 * @param earlierOperations operations that committed the preceding versions, newest first; bounded in number
 */
public record ConfigurationHead(
        long version,
        String operation,
        int chunks,
        String digest,
        long writtenMs,
        String author,
        List<String> earlierOperations) {
    /** Copies the operations into an immutable list. */
    public ConfigurationHead {
        earlierOperations = List.copyOf(earlierOperations);
    }

    /** Returns whether the given operation committed this version or one of the recent versions before it. */
    public boolean includes(String operationId) {
        return operation.equals(operationId) || earlierOperations.contains(operationId);
    }
}
