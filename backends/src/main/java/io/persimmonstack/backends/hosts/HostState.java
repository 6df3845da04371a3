package io.persimmonstack.backends.hosts;

/** State of a host. */
public enum HostState {
    /** In service. */
    LIVE,
    /** Takes no new work and is taken away soon. */
    LEAVING,
    /** Taken away; nothing runs on it any more. */
    GONE
}
