package io.persimmonstack.standin.hosts;

/** Target that follows the state of its host. */
public interface HostedTarget {
    /** Lets the target refuse new work, or accept it again. */
    void setLeaving(boolean isLeaving);

    /** Ends the target with all it holds, or starts it anew. */
    void setGone(boolean isGone);
}
