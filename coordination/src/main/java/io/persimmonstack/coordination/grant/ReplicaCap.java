package io.persimmonstack.coordination.grant;

/**
 * Replica cap of a model in one version of the configuration.
 *
 * @param replicas maximum number of loaded replicas, over all versions of the model
 * @param configurationVersion version of the configuration that sets the cap
 */
public record ReplicaCap(int replicas, long configurationVersion) {
    /** Rejects negative caps. */
    public ReplicaCap {
        if (replicas < 0) {
            throw new IllegalArgumentException("replicas " + replicas + ": expected 0 or more");
        }
    }

    /** Returns a cap of the given number of replicas, set by the given version of the configuration. */
    public static ReplicaCap of(int replicas, long configurationVersion) {
        return new ReplicaCap(replicas, configurationVersion);
    }
}
