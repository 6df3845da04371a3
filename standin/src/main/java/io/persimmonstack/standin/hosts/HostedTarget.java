package io.persimmonstack.standin.hosts;

/** Engine or service instance whose availability follows the state of its host in the host list. */
public interface HostedTarget {
    /** Sets whether the target rejects new requests because its host is leaving. */
    void setLeaving(boolean isLeaving);

    /** Simulates the death of the target, which loses its loaded models, or its restart. */
    void setGone(boolean isGone);
}
